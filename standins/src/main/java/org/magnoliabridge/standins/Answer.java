package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** What a stand-in answers. */
sealed interface Answer {
    /** An answer with a Content-Length. */
    @SuppressWarnings("ArrayRecordComponent")
    record Whole(int status, Map<String, String> headers, byte[] body) implements Answer {
        Whole with(String name, String value) {
            Map<String, String> all = new LinkedHashMap<>(headers);
            all.put(name, value);
            return new Whole(status, all, body);
        }
    }

    /** A stream of server-sent events, written by the source on the call's own thread. */
    record Events(Source source) implements Answer {}

    /** Writes the events of a stream. */
    @FunctionalInterface
    interface Source {
        void writeTo(Sink sink) throws IOException, InterruptedException;
    }

    /** Takes the events of a stream. */
    @FunctionalInterface
    interface Sink {
        /** Writes the data of one event; throws IOException when the connection is gone. */
        void event(String data) throws IOException;
    }

    static Whole json(int status, JsonNode body) {
        return new Whole(status, Map.of("Content-Type", "application/json"), Json.bytes(body));
    }

    static Whole ok() {
        return json(200, Json.object());
    }

    static Whole error(int status, String error) {
        return json(status, Json.object().put("error", error));
    }
}
