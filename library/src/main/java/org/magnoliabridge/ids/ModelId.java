package org.magnoliabridge.ids;

/**
 * Identifies a model whose weights have versions.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record ModelId(String value) implements Comparable<ModelId> {
    public ModelId {
        Names.require("ModelId", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static ModelId parse(String text) throws InvalidIdException {
        Names.check("ModelId", text);
        return new ModelId(text);
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
