package org.magnoliabridge.ids;

/**
 * Identifies a training run of a trainer.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record RunId(String value) implements Comparable<RunId> {
    public RunId {
        Names.require("RunId", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static RunId parse(String text) throws InvalidIdException {
        Names.check("RunId", text);
        return new RunId(text);
    }

    @Override
    public int compareTo(RunId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
