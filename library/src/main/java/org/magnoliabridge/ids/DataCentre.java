package org.magnoliabridge.ids;

/**
 * Identifies a data centre.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record DataCentre(String value) implements Comparable<DataCentre> {
    public DataCentre {
        Names.require("DataCentre", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static DataCentre parse(String text) throws InvalidIdException {
        Names.check("DataCentre", text);
        return new DataCentre(text);
    }

    @Override
    public int compareTo(DataCentre other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
