package org.magnoliabridge.batch;

import java.util.List;
import java.util.Objects;
import org.magnoliabridge.ids.ItemId;

/**
 * Events of an item without a result that a runner has stored, so that the next runner need not generate them again.
 *
 * @param events in order, with consecutive numbers; those of a first part begin with 1
 */
public record PartialText(ItemId item, List<Transcript.Event> events) {
    public PartialText {
        Objects.requireNonNull(item);
        events = List.copyOf(events);
        if (events.isEmpty()) {
            throw new IllegalArgumentException("a part of a text has at least one event");
        }
    }
}
