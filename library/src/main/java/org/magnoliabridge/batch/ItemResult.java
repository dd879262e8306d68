package org.magnoliabridge.batch;

import java.util.List;
import java.util.Objects;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.WeightVersion;

/**
 * The result of an item.
 *
 * @param completed false if the item was given up
 * @param text data of all events in order, separated by line feeds
 * @param versions all weight versions that generated a part of the text, in ascending order
 */
public record ItemResult(ItemId item, boolean completed, String text, List<WeightVersion> versions) {
    public ItemResult {
        Objects.requireNonNull(item);
        Objects.requireNonNull(text);
        versions = List.copyOf(versions);
    }

    /** Returns the result of an item that was given up. */
    public static ItemResult givenUp(ItemId item) {
        return new ItemResult(item, false, "", List.of());
    }
}
