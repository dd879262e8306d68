package org.magnoliabridge.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Parses the answers that arrive on one connection, and rejects all that are malformed by RFC 9110, section 5, or
 * RFC 9112, sections 2 to 7. Not thread-safe.
 */
final class AnswerParser {
    // An equal length twice is valid, see RFC 9110, section 8.6.
    private static final HttpCompliance COMPLIANCE =
            HttpCompliance.STRICT.with("answers", HttpCompliance.Violation.MULTIPLE_CONTENT_LENGTHS);
    // RFC 9110, section 15: a status outside of 100 to 599 is invalid.
    private static final int FIRST_STATUS = 100;
    private static final int LAST_STATUS = 599;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final String CONTENT_LENGTH = HttpHeader.CONTENT_LENGTH.lowerCaseName();
    // RFC 9112, section 7.1: the size of a chunk with its extensions.
    private static final Pattern CHUNK_LINE = Pattern.compile("[0-9A-Fa-f]{1,16}([ \t]*;[^\r\n]*)?\r\n");
    private static final int MAX_CHUNK_LINE = 128;
    private static final String CHUNKED = "chunked";

    private final Message message = new Message();
    private final HttpParser parser;
    private boolean toHeadRequest;

    /**
     * Creates a parser.
     *
     * @param maxHeadBytes size limit of a head
     */
    AnswerParser(int maxHeadBytes) {
        parser = new HttpParser(message, maxHeadBytes, COMPLIANCE);
        // Values that differ in case only from common ones are kept as they are.
        parser.setHeaderCacheCaseSensitive(true);
    }

    /**
     * Expects the answer to a request.
     *
     * @param method the method of the request; an answer to HEAD has no content
     */
    void expectAnswer(String method) {
        toHeadRequest = method.equals("HEAD");
        restart();
    }

    /**
     * Parses more bytes of the answer. Bytes after its end are not read.
     *
     * @throws IOException if the answer is malformed
     */
    void parse(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining() && !message.complete) {
            parser.parseNext(bytes);
            requireValid();
            if (message.complete && message.status < FIRST_FINAL_STATUS) {
                restart();
            }
        }
    }

    /**
     * Ends the answer because its connection has ended.
     *
     * @throws IOException if the answer is incomplete
     */
    void end() throws IOException {
        if (!message.complete) {
            parser.atEOF();
            parser.parseNext(ByteBuffer.allocate(0));
            requireValid();
        }
    }

    /** Returns the head of the final answer; empty until all of it was parsed. */
    Optional<AnswerHead> head() {
        return Optional.ofNullable(message.head);
    }

    /** Returns how many bytes of content were parsed, without their framing. */
    long contentBytes() {
        return message.contentBytes;
    }

    /** Returns whether the final answer was parsed up to its end. */
    boolean isComplete() {
        return message.complete;
    }

    private void restart() {
        parser.reset();
        parser.setHeadResponse(toHeadRequest);
        message.clear();
    }

    private void requireValid() throws IOException {
        if (message.fault != null) {
            throw new IOException("malformed answer: " + message.fault);
        }
    }

    /** The message that is being parsed. */
    private final class Message implements HttpParser.ResponseHandler {
        private final Map<String, String> headers = new LinkedHashMap<>();
        private final StringBuilder firstLine = new StringBuilder();
        private HttpVersion version;
        private int status;
        private String length;
        private String coding;
        private boolean close;
        private boolean keepAlive;
        private AnswerHead head;
        private long contentBytes;
        private boolean complete;
        private String fault;

        private void clear() {
            headers.clear();
            version = null;
            status = 0;
            length = null;
            coding = null;
            close = false;
            keepAlive = false;
            head = null;
            firstLine.setLength(0);
            contentBytes = 0;
            complete = false;
            fault = null;
        }

        @Override
        public void startResponse(HttpVersion newVersion, int newStatus, String reason) {
            version = newVersion;
            status = newStatus;
            if (status < FIRST_STATUS || status > LAST_STATUS) {
                fail("invalid status " + status);
            }
            if (version != HttpVersion.HTTP_1_1 && version != HttpVersion.HTTP_1_0) {
                fail("unsupported version " + version);
            }
        }

        @Override
        public void parsedHeader(HttpField field) {
            String value = field.getValue() == null ? "" : field.getValue();
            headers.putIfAbsent(field.getLowerCaseName(), value);
            if (field.getHeader() == HttpHeader.CONTENT_LENGTH) {
                length = value;
            } else if (field.getHeader() == HttpHeader.TRANSFER_ENCODING) {
                coding = coding == null ? value : coding + ", " + value;
            } else if (field.getHeader() == HttpHeader.CONNECTION) {
                close |= field.contains("close");
                keepAlive |= field.contains("keep-alive");
            }
        }

        @Override
        public boolean headerComplete() {
            if (coding != null && !isChunked()) {
                fail("expected the transfer coding chunked alone in HTTP/1.1, found \"" + coding + "\"");
            } else if (coding != null && length != null) {
                fail("found both a length and a transfer coding");
            } else if (status == NO_CONTENT && (coding != null || parser.getContentLength() > 0)) {
                fail("found content in an answer with status " + status);
            } else if (status >= FIRST_FINAL_STATUS) {
                if (length != null) {
                    // Leading zeros are valid.
                    headers.put(CONTENT_LENGTH, Long.toString(parser.getContentLength()));
                }
                boolean persistent = version == HttpVersion.HTTP_1_1 ? !close : keepAlive && !close;
                boolean endsWithConnection = hasContent() && length == null && coding == null;
                head = new AnswerHead(status, headers, endsWithConnection, persistent);
            }
            return false;
        }

        // RFC 9112, section 6.1: the framing of a coded message is faulty in HTTP/1.0.
        private boolean isChunked() {
            return version == HttpVersion.HTTP_1_1 && coding.equalsIgnoreCase(CHUNKED);
        }

        private boolean hasContent() {
            return !toHeadRequest && status != NO_CONTENT && status != NOT_MODIFIED;
        }

        @Override
        public boolean content(ByteBuffer bytes) {
            contentBytes += bytes.remaining();
            if (head != null && head.endsWithConnection()) {
                checkFirstLine(bytes);
            }
            return false;
        }

        // A transfer coding whose field is unreadable leaves an answer that seems to end with its connection.
        private void checkFirstLine(ByteBuffer bytes) {
            int next = bytes.position();
            while (firstLine.length() < MAX_CHUNK_LINE && next < bytes.limit() && firstLine.indexOf("\n") < 0) {
                firstLine.append((char) (bytes.get(next) & 0xff));
                next++;
            }
            if (CHUNK_LINE.matcher(firstLine).matches()) {
                fail("found a chunk in an answer without a transfer coding");
            }
        }

        @Override
        public boolean contentComplete() {
            return false;
        }

        @Override
        public boolean messageComplete() {
            complete = true;
            return true;
        }

        @Override
        public void earlyEOF() {
            fail("the connection ended before the answer");
        }

        @Override
        public void badMessage(HttpException failure) {
            fail(failure.getReason());
        }

        private void fail(String reason) {
            if (fault == null) {
                fault = reason;
            }
        }
    }
}
