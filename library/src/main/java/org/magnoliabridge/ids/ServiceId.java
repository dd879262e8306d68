package org.magnoliabridge.ids;

/**
 * Identifies a service: a model service that engines serve, or a plain service.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
    public ServiceId {
        Names.require("ServiceId", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static ServiceId parse(String text) throws InvalidIdException {
        Names.check("ServiceId", text);
        return new ServiceId(text);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
