package org.magnoliabridge.ids;

/**
 * Identifies an item of a batch; the same item may come again in a later batch of its trainer.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record ItemId(String value) implements Comparable<ItemId> {
    public ItemId {
        Names.require("ItemId", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static ItemId parse(String text) throws InvalidIdException {
        Names.check("ItemId", text);
        return new ItemId(text);
    }

    @Override
    public int compareTo(ItemId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
