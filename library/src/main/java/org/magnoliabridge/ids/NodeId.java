package org.magnoliabridge.ids;

/**
 * Identifies a node, one process of this system.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record NodeId(String value) implements Comparable<NodeId> {
    public NodeId {
        Names.require("NodeId", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static NodeId parse(String text) throws InvalidIdException {
        Names.check("NodeId", text);
        return new NodeId(text);
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
