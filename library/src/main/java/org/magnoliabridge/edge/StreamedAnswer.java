package org.magnoliabridge.edge;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.magnoliabridge.memory.Content;
import org.magnoliabridge.memory.Holding;
import org.magnoliabridge.memory.MemoryClaim;
import org.magnoliabridge.memory.NodeMemory;

/** An answer whose length is not known when it begins; used by one thread at a time. */
public sealed interface StreamedAnswer {
    /**
     * Begins an answer in the form that its caller understands. The status and the headers of the exchange must be set
     * before the first part of a {@link Sent} answer.
     *
     * @param memory holds the parts of an answer that cannot be sent before its end
     */
    static StreamedAnswer begin(HttpServerExchange exchange, NodeMemory memory) {
        if (AnswerFraming.allowsChunks(exchange)) {
            exchange.startBlocking();
            return new Sent(exchange.getOutputStream());
        }
        String caller = exchange.getSourceAddress().getAddress().getHostAddress();
        MemoryClaim claim = memory.open(Holding.CALLER_ANSWER, caller);
        // Whatever ends the exchange, for example a caller that leaves.
        exchange.addExchangeCompleteListener((ended, next) -> {
            claim.close();
            next.proceed();
        });
        return new Held(claim);
    }

    /**
     * Adds a part.
     *
     * @throws IOException if the caller has closed its connection, or there is no room for the part
     */
    void write(byte[] part) throws IOException;

    /** An answer that its caller gets part by part, and whose end it can tell from a cut. */
    final class Sent implements StreamedAnswer {
        private final OutputStream out;

        private Sent(OutputStream out) {
            this.out = out;
        }

        @Override
        public void write(byte[] part) throws IOException {
            out.write(part);
            out.flush();
        }

        /** Ends the answer as complete. */
        public void end() throws IOException {
            out.close();
        }
    }

    /**
     * An answer to a caller that understands no chunks (HTTP/1.0), kept until it is complete, so that it is sent with
     * its length. Until then, a failure can still be sent in its place.
     */
    final class Held implements StreamedAnswer, AutoCloseable {
        private static final long WAIT_MS = 1_000;

        private final MemoryClaim claim;
        private final List<ByteBuffer> parts = new ArrayList<>();
        private boolean full;

        private Held(MemoryClaim claim) {
            this.claim = claim;
        }

        @Override
        public void write(byte[] part) throws IOException {
            full = full || !hasRoom(part.length);
            if (full) {
                throw new IOException("no room for the answer, which cannot be sent before its end");
            }
            parts.add(ByteBuffer.wrap(part));
        }

        private boolean hasRoom(int bytes) {
            try {
                return claim.take(bytes, WAIT_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }

        /** Returns whether a part was refused for lack of room. */
        public boolean isFull() {
            return full;
        }

        /** Returns the parts so far. */
        public Content content() {
            return Content.of(parts);
        }

        /** Returns the claim that the parts are held under, which the sender of the content takes over. */
        public MemoryClaim claim() {
            return claim;
        }

        /** Drops the parts. */
        @Override
        public void close() {
            parts.clear();
            claim.close();
        }
    }
}
