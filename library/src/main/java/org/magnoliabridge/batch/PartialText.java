package org.magnoliabridge.batch;

import java.util.List;
import java.util.Objects;
import org.magnoliabridge.ids.ItemId;

/**
 * Stored events of an item without a result, so that the next runner does not have to generate them again.
 *
 * @param events in order, with consecutive numbers; those of the first part of a text begin with 1
 */
public record PartialText(ItemId item, List<Transcript.Event> events) {
    public PartialText {
        Objects.requireNonNull(item);
        events = List.copyOf(events);
        if (events.isEmpty()) {
            throw new IllegalArgumentException("partial text of item " + item + " has no events");
        }
    }
}
