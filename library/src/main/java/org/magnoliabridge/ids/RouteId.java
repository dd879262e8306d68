package org.magnoliabridge.ids;

/**
 * Identifies a route of the gateway's configuration.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record RouteId(String value) implements Comparable<RouteId> {
    public RouteId {
        Names.require("RouteId", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static RouteId parse(String text) throws InvalidIdException {
        Names.check("RouteId", text);
        return new RouteId(text);
    }

    @Override
    public int compareTo(RouteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
