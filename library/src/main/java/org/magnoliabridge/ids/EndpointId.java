package org.magnoliabridge.ids;

/**
 * Identifies an endpoint, one instance of a back end.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record EndpointId(String value) implements Comparable<EndpointId> {
    public EndpointId {
        Names.require("EndpointId", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static EndpointId parse(String text) throws InvalidIdException {
        Names.check("EndpointId", text);
        return new EndpointId(text);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
