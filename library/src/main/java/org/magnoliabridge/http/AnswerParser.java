package org.magnoliabridge.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Parses the answers that arrive on one connection, and rejects all that are malformed by {@link AnswerGrammar}. A line
 * must end with CR LF. Not thread-safe.
 */
final class AnswerParser {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int MAX_CHUNK_LINE = 128;
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CONNECTION = "connection";
    private static final String CHUNKED = "chunked";

    private final StringBuilder line = new StringBuilder();
    private final Map<String, String> headers = new HashMap<>();
    private boolean toHeadRequest;
    private State state = State.COMPLETE;
    private AnswerGrammar.StatusLine status;
    private Optional<Long> length = Optional.empty();
    private Optional<String> coding = Optional.empty();
    private boolean close;
    private boolean keepAlive;
    private Optional<AnswerHead> head = Optional.empty();
    // What is left of the content, or of the chunk.
    private long leftBytes;
    private long contentBytes;
    private boolean firstLineRead;

    /** The part of an answer that is due. */
    private enum State {
        STATUS_LINE,
        FIELD_LINE,
        CONTENT,
        CONTENT_UP_TO_THE_END,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER_LINE,
        COMPLETE
    }

    /**
     * Expects the answer to a request.
     *
     * @param method the method of the request; an answer to HEAD has no content
     */
    void expectAnswer(String method) {
        toHeadRequest = method.equals("HEAD");
        contentBytes = 0;
        restart();
    }

    /**
     * Parses more bytes of the answer. Bytes after its end are not read.
     *
     * @throws IOException if the answer is malformed
     */
    void parse(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining() && state != State.COMPLETE) {
            switch (state) {
                case CONTENT, CHUNK_DATA -> readContent(bytes);
                case CONTENT_UP_TO_THE_END -> {
                    readFirstLine(bytes);
                    contentBytes += bytes.remaining();
                    bytes.position(bytes.limit());
                }
                default -> readLine(bytes);
            }
        }
    }

    /**
     * Ends the answer because its connection has ended.
     *
     * @throws IOException if the answer is incomplete
     */
    void end() throws IOException {
        if (state == State.CONTENT_UP_TO_THE_END) {
            state = State.COMPLETE;
        } else if (state != State.COMPLETE) {
            throw new IOException("the connection ended before the answer");
        }
    }

    /** Returns the head of the final answer; empty until all of it was parsed. */
    Optional<AnswerHead> head() {
        return head;
    }

    /** Returns how many bytes of content were parsed, without their framing. */
    long contentBytes() {
        return contentBytes;
    }

    /** Returns whether the final answer was parsed up to its end. */
    boolean isComplete() {
        return state == State.COMPLETE;
    }

    private void restart() {
        state = State.STATUS_LINE;
        line.setLength(0);
        headers.clear();
        length = Optional.empty();
        coding = Optional.empty();
        close = false;
        keepAlive = false;
        head = Optional.empty();
        firstLineRead = false;
    }

    private void readLine(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            char c = (char) (bytes.get() & 0xff);
            if (c == '\n') {
                int last = line.length() - 1;
                if (last < 0 || line.charAt(last) != '\r') {
                    throw malformed("a line without CR LF");
                }
                String complete = line.substring(0, last);
                line.setLength(0);
                lineRead(complete);
                return;
            }
            line.append(c);
        }
    }

    private void lineRead(String complete) throws IOException {
        switch (state) {
            case STATUS_LINE -> {
                status = AnswerGrammar.statusLine(complete);
                state = State.FIELD_LINE;
            }
            case FIELD_LINE -> {
                if (complete.isEmpty()) {
                    headRead();
                } else {
                    fieldRead(AnswerGrammar.fieldLine(complete));
                }
            }
            case CHUNK_SIZE -> {
                leftBytes = AnswerGrammar.chunkSize(complete);
                state = leftBytes > 0 ? State.CHUNK_DATA : State.TRAILER_LINE;
            }
            case CHUNK_END -> {
                if (!complete.isEmpty()) {
                    throw malformed("a chunk that is longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILER_LINE -> {
                if (complete.isEmpty()) {
                    state = State.COMPLETE;
                } else {
                    AnswerGrammar.fieldLine(complete);
                }
            }
            default -> throw new IllegalStateException("no line is due: " + state);
        }
    }

    private void fieldRead(AnswerGrammar.FieldLine field) throws IOException {
        headers.putIfAbsent(field.name(), field.value());
        switch (field.name()) {
            case CONTENT_LENGTH -> {
                long value = AnswerGrammar.length(field.value());
                if (length.isPresent() && length.get() != value) {
                    throw malformed("two lengths, " + length.get() + " and " + value);
                }
                length = Optional.of(value);
                // Leading zeros are valid.
                headers.put(CONTENT_LENGTH, Long.toString(value));
            }
            case TRANSFER_ENCODING ->
                coding = Optional.of(coding.map(first -> first + ", ").orElse("") + field.value());
            case CONNECTION -> {
                close |= AnswerGrammar.hasElement(field.value(), "close");
                keepAlive |= AnswerGrammar.hasElement(field.value(), "keep-alive");
            }
            default -> {
                // The other fields say nothing about the end of the content.
            }
        }
    }

    private void headRead() throws IOException {
        if (status.status() < FIRST_FINAL_STATUS) {
            restart();
            return;
        }
        requireOneFraming();
        boolean endsWithConnection = hasContent() && length.isEmpty() && coding.isEmpty();
        boolean persistent = !close && (status.minorVersion() == 1 || keepAlive);
        head = Optional.of(new AnswerHead(status.status(), headers, endsWithConnection, persistent));
        leftBytes = length.orElse(0L);
        if (endsWithConnection) {
            state = State.CONTENT_UP_TO_THE_END;
        } else if (hasContent() && coding.isPresent()) {
            state = State.CHUNK_SIZE;
        } else {
            state = hasContent() && leftBytes > 0 ? State.CONTENT : State.COMPLETE;
        }
    }

    private void requireOneFraming() throws IOException {
        // RFC 9112, section 6.1: the framing of a coded message is faulty in HTTP/1.0.
        if (coding.isPresent() && !(status.minorVersion() == 1 && coding.get().equalsIgnoreCase(CHUNKED))) {
            throw malformed("another transfer coding than chunked in HTTP/1.1");
        }
        if (coding.isPresent() && length.isPresent()) {
            throw malformed("both a length and a transfer coding");
        }
        if (status.status() == NO_CONTENT && (coding.isPresent() || length.orElse(0L) > 0)) {
            throw malformed("content in an answer with status " + NO_CONTENT);
        }
    }

    private boolean hasContent() {
        return !toHeadRequest && status.status() != NO_CONTENT && status.status() != NOT_MODIFIED;
    }

    private void readContent(ByteBuffer bytes) {
        int count = (int) Math.min(leftBytes, bytes.remaining());
        bytes.position(bytes.position() + count);
        contentBytes += count;
        leftBytes -= count;
        if (leftBytes == 0) {
            state = state == State.CHUNK_DATA ? State.CHUNK_END : State.COMPLETE;
        }
    }

    // A transfer coding whose field is unreadable leaves an answer that seems to end with its connection.
    private void readFirstLine(ByteBuffer bytes) throws IOException {
        int next = bytes.position();
        while (!firstLineRead && line.length() < MAX_CHUNK_LINE && next < bytes.limit()) {
            char c = (char) (bytes.get(next) & 0xff);
            if (c == '\n') {
                boolean ended = !line.isEmpty() && line.charAt(line.length() - 1) == '\r';
                if (ended && AnswerGrammar.isChunkSize(line.subSequence(0, line.length() - 1))) {
                    throw malformed("a chunk in an answer without a transfer coding");
                }
                firstLineRead = true;
                return;
            }
            line.append(c);
            next++;
        }
    }

    private static IOException malformed(String found) {
        return new IOException("malformed answer: found " + found);
    }
}
