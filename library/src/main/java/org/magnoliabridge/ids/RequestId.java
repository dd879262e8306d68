package org.magnoliabridge.ids;

/**
 * Identifies one request on one hop.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record RequestId(String value) implements Comparable<RequestId> {
    public RequestId {
        Names.require("RequestId", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static RequestId parse(String text) throws InvalidIdException {
        Names.check("RequestId", text);
        return new RequestId(text);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
