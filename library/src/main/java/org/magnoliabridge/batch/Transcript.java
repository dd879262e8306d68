package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.WeightVersion;

/**
 * The known events of an item over all its runs; immutable.
 *
 * @param events in order, with consecutive numbers from 1
 * @param complete whether the last one ends the text
 */
public record Transcript(List<Event> events, boolean complete) {
    /** The transcript of an item that has not run. */
    public static final Transcript EMPTY = new Transcript(List.of(), false);

    /**
     * One event of a text.
     *
     * @param version the weights that generated it
     */
    public record Event(long number, String data, WeightVersion version) {
        public Event {
            Objects.requireNonNull(data);
            Objects.requireNonNull(version);
        }
    }

    public Transcript {
        events = List.copyOf(events);
    }

    /** Returns the number of the last event, 0 if there is none. */
    public long lastEvent() {
        return events.isEmpty() ? 0 : events.getLast().number();
    }

    /** Returns the total length of the events' texts. */
    public long chars() {
        return events.stream().mapToLong(e -> e.data().length()).sum();
    }

    /** Returns this transcript extended by the events of a run that resumed after its last event. */
    public Transcript extended(List<Event> more, boolean ended) {
        if (more.isEmpty() && ended == complete) {
            return this;
        }
        List<Event> all = new ArrayList<>(events);
        all.addAll(more);
        return new Transcript(all, ended);
    }

    /** Returns the distinct weight versions that generated the events, in ascending order. */
    public List<WeightVersion> versions() {
        return events.stream().map(Event::version).distinct().sorted().toList();
    }

    /** Returns whether a batch may use this text. */
    public boolean isUsableFor(BatchHead batch) {
        List<WeightVersion> versions = versions();
        boolean single = !batch.terms().singleVersion() || versions.size() <= 1;
        return single && versions.stream().allMatch(batch::accepts);
    }

    /** Returns the result of a complete transcript. */
    public ItemResult result(ItemId item) {
        if (!complete) {
            throw new IllegalStateException("the text of item " + item + " is not complete");
        }
        String text = String.join("\n", events.stream().map(Event::data).toList());
        return new ItemResult(item, true, text, versions());
    }
}
