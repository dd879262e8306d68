package org.magnoliabridge.ids;

/**
 * Identifies a team's key; the public part of the key, never its secret.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record KeyId(String value) implements Comparable<KeyId> {
    public KeyId {
        Names.require("KeyId", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static KeyId parse(String text) throws InvalidIdException {
        Names.check("KeyId", text);
        return new KeyId(text);
    }

    @Override
    public int compareTo(KeyId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
