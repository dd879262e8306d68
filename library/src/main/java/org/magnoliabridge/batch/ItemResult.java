package org.magnoliabridge.batch;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.WeightVersion;

/**
 * The result of an item.
 *
 * @param completed false if the item was given up
 * @param text data of all events in order, separated by line feeds
 * @param versions all weight versions that generated a part of the text, in ascending order
 * @param score the score of the text, if the item asked for one
 */
public record ItemResult(
        ItemId item, boolean completed, String text, List<WeightVersion> versions, Optional<String> score) {
    public ItemResult {
        Objects.requireNonNull(item);
        Objects.requireNonNull(text);
        Objects.requireNonNull(score);
        versions = List.copyOf(versions);
    }

    /** Creates a result without a score. */
    public ItemResult(ItemId item, boolean completed, String text, List<WeightVersion> versions) {
        this(item, completed, text, versions, Optional.empty());
    }

    /** Returns the result of an item that was given up. */
    public static ItemResult givenUp(ItemId item) {
        return new ItemResult(item, false, "", List.of());
    }

    /** Returns a copy with a score. */
    ItemResult withScore(String value) {
        return new ItemResult(item, completed, text, versions, Optional.of(value));
    }
}
