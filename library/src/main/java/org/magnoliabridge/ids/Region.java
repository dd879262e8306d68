package org.magnoliabridge.ids;

/**
 * Identifies a region, a group of data centres.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record Region(String value) implements Comparable<Region> {
    public Region {
        Names.require("Region", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static Region parse(String text) throws InvalidIdException {
        Names.check("Region", text);
        return new Region(text);
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
