package org.magnoliabridge.calls;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/** Splits the content of a server-sent event stream into events without changing any byte. */
final class EventSplitter {
    // Far above the size of the services' events; bounds the memory that a faulty endpoint can occupy.
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final String ID_FIELD = "id:";

    private final Sink sink;
    private final ByteArrayOutputStream event = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private OptionalLong id = OptionalLong.empty();

    /** Receives complete events. */
    @FunctionalInterface
    interface Sink {
        /** Receives an event including its terminating empty line; returns false to stop. */
        boolean onEvent(OptionalLong id, byte[] bytes);
    }

    EventSplitter(Sink sink) {
        this.sink = sink;
    }

    /** Processes a part of the content; returns false if an event is too large or the sink returned false. */
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

    /** Returns whether the content so far ends with a complete event. */
    boolean atBoundary() {
        return event.size() == 0;
    }

    private boolean endLine() {
        String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
        line.reset();
        if (text.isEmpty()) {
            byte[] bytes = event.toByteArray();
            OptionalLong eventId = id;
            event.reset();
            id = OptionalLong.empty();
            return sink.onEvent(eventId, bytes);
        }
        if (text.startsWith(ID_FIELD)) {
            id = parseId(text.substring(ID_FIELD.length()).strip());
        }
        return true;
    }

    private static OptionalLong parseId(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
