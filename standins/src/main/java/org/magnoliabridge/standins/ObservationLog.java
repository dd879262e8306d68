package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what callers and trainer saw, one JSON line each. */
final class ObservationLog implements AutoCloseable {
    private final BufferedWriter out;

    ObservationLog(Path file) throws IOException {
        out = Files.newBufferedWriter(file, StandardCharsets.UTF_8);
    }

    synchronized void add(ObjectNode line) {
        try {
            out.write(Json.text(line));
            out.newLine();
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("the observation log can't be written", e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        out.close();
    }
}
