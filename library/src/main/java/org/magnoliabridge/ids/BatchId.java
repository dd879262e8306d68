package org.magnoliabridge.ids;

/**
 * Identifies a batch: the items that a trainer submits for one step.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record BatchId(String value) implements Comparable<BatchId> {
    public BatchId {
        Names.require("BatchId", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static BatchId parse(String text) throws InvalidIdException {
        Names.check("BatchId", text);
        return new BatchId(text);
    }

    @Override
    public int compareTo(BatchId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
