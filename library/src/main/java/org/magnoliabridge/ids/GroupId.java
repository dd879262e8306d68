package org.magnoliabridge.ids;

/**
 * Identifies a group of items that share a prompt.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record GroupId(String value) implements Comparable<GroupId> {
    public GroupId {
        Names.require("GroupId", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static GroupId parse(String text) throws InvalidIdException {
        Names.check("GroupId", text);
        return new GroupId(text);
    }

    @Override
    public int compareTo(GroupId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
