package org.magnoliabridge.calls;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/** Splits the content of an event stream into its events, byte for byte. */
final class EventSplitter {
    // Far above the events of the services; bounds what a faulty endpoint can make a node hold.
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final String ID_FIELD = "id:";

    private final Sink sink;
    private final ByteArrayOutputStream event = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private OptionalLong id = OptionalLong.empty();

    /** Takes whole events. */
    @FunctionalInterface
    interface Sink {
        /** Takes an event with its closing empty line; returns false to stop. */
        boolean onEvent(OptionalLong id, byte[] bytes);
    }

    EventSplitter(Sink sink) {
        this.sink = sink;
    }

    /** Takes a piece of the content; returns false if an event is too large, or if the sink does. */
    boolean accept(byte[] piece) {
        for (byte b : piece) {
            event.write(b);
            if (b != '\n') {
                line.write(b);
            } else if (!endLine()) {
                return false;
            }
        }
        return event.size() <= MAX_EVENT_BYTES;
    }

    /** Returns whether the content so far ends with a whole event. */
    boolean atBoundary() {
        return event.size() == 0;
    }

    private boolean endLine() {
        String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
        line.reset();
        if (text.isEmpty()) {
            byte[] bytes = event.toByteArray();
            OptionalLong number = id;
            event.reset();
            id = OptionalLong.empty();
            return sink.onEvent(number, bytes);
        }
        if (text.startsWith(ID_FIELD)) {
            id = number(text.substring(ID_FIELD.length()).strip());
        }
        return true;
    }

    private static OptionalLong number(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
