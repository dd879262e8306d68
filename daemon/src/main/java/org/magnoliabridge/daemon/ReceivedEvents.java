package org.magnoliabridge.daemon;

import java.util.ArrayList;
import java.util.List;
import org.magnoliabridge.batch.Transcript;

/** The events of a run, added by the thread of the run and read by the control thread. */
final class ReceivedEvents {
    private final List<Transcript.Event> events = new ArrayList<>();
    private int taken;

    synchronized void add(Transcript.Event event) {
        events.add(event);
    }

    /** Returns the events that were added since the last call. */
    synchronized List<Transcript.Event> takeNew() {
        List<Transcript.Event> added = List.copyOf(events.subList(taken, events.size()));
        taken = events.size();
        return added;
    }

    synchronized List<Transcript.Event> all() {
        return List.copyOf(events);
    }
}
