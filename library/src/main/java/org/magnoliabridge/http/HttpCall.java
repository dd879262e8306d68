package org.magnoliabridge.http;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.magnoliabridge.memory.Content;

/**
 * An HTTP request with its limits.
 *
 * @param method for example {@code POST}
 * @param target IP address and port
 * @param path path and query, starting with a slash
 * @param headers header names and values, without Content-Length; Host only if it is not that of the target
 * @param body the content, empty for none
 * @param limits time limits
 * @param maxAnswerBytes size limit of a complete answer; of one line if the answer is streamed as lines
 * @param reuse whether the call may use a pooled connection, and may be sent again if that connection is lost
 * @param deadlineHeader tells the server a time limit, less the time used if the call is sent again
 * @param unframedAnswer whether to accept an answer without Content-Length and Transfer-Encoding, which ends when
 *     its connection closes
 * @param condition must hold when the request is written, see {@link #onlyWhile}; empty for none
 * @param answerCheck see {@link #withAnswerCheck}
 */
public record HttpCall(
        String method,
        InetSocketAddress target,
        String path,
        Map<String, String> headers,
        Content body,
        HttpLimits limits,
        int maxAnswerBytes,
        Reuse reuse,
        Optional<DeadlineHeader> deadlineHeader,
        boolean unframedAnswer,
        Optional<BooleanSupplier> condition,
        AnswerCheck answerCheck) {
    private static final long DEFAULT_TOTAL_MS = 5_000;
    private static final int DEFAULT_MAX_ANSWER_BYTES = 8 << 20;

    /** Checks an answer by its status and headers. */
    @FunctionalInterface
    public interface AnswerCheck {
        /**
         * Returns whether later calls may use the connection.
         *
         * @param head the answer without its body
         * @throws HttpFailure.Lost if the answer does not belong to the call
         */
        boolean check(HttpAnswer head) throws HttpFailure.Lost;
    }

    /**
     * A header with a time limit in milliseconds.
     *
     * @param extraMs added to the time limit of the call, for work that outlasts one call
     */
    public record DeadlineHeader(String name, long extraMs) {
        public DeadlineHeader {
            Objects.requireNonNull(name);
        }
    }

    /** How a call uses pooled connections, which the server may have closed without notice. */
    public enum Reuse {
        /** Opens a new connection; for calls that must not be executed twice and should not fail needlessly. */
        NONE,
        /** May use a pooled connection; fails if that connection is lost. */
        ONCE,
        /**
         * May use a pooled connection, and is sent once more over a new connection if the pooled one is lost before
         * any byte of the answer; for calls that may be executed twice.
         */
        REPEAT
    }

    public HttpCall {
        Objects.requireNonNull(method);
        Objects.requireNonNull(target);
        Objects.requireNonNull(body);
        Objects.requireNonNull(limits);
        Objects.requireNonNull(condition);
        Objects.requireNonNull(answerCheck);
        headers = Map.copyOf(headers);
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException("path must start with a slash: " + path);
        }
    }

    /** Returns a call without a body. */
    public static HttpCall of(String method, InetSocketAddress target, String path) {
        return new HttpCall(
                method,
                target,
                path,
                Map.of(),
                Content.EMPTY,
                HttpLimits.total(DEFAULT_TOTAL_MS),
                DEFAULT_MAX_ANSWER_BYTES,
                Reuse.ONCE,
                Optional.empty(),
                false,
                Optional.empty(),
                head -> true);
    }

    /** Returns a GET call. */
    public static HttpCall get(InetSocketAddress target, String path) {
        return of("GET", target, path);
    }

    /** Returns a call with a JSON body. */
    public static HttpCall json(String method, InetSocketAddress target, String path, byte[] body) {
        return of(method, target, path).withBody(body).withHeader("Content-Type", "application/json");
    }

    /** Returns a copy with one more header. */
    public HttpCall withHeader(String name, String value) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put(name, value);
        return copy(method, target, path, all, body, limits, maxAnswerBytes, reuse, deadlineHeader, unframedAnswer);
    }

    /** Returns a copy with another body; the array is not copied, callers must not change it. */
    public HttpCall withBody(byte[] content) {
        return withBody(Content.of(content));
    }

    /** Returns a copy with another body. */
    public HttpCall withBody(Content content) {
        return copy(
                method, target, path, headers, content, limits, maxAnswerBytes, reuse, deadlineHeader, unframedAnswer);
    }

    /** Returns a copy with other limits. */
    public HttpCall withLimits(HttpLimits other) {
        return copy(method, target, path, headers, body, other, maxAnswerBytes, reuse, deadlineHeader, unframedAnswer);
    }

    /** Returns a copy that opens a new connection. */
    public HttpCall onFreshConnection() {
        return withReuse(Reuse.NONE);
    }

    /** Returns a copy that may be executed twice, see {@link Reuse#REPEAT}. */
    public HttpCall repeatable() {
        return withReuse(Reuse.REPEAT);
    }

    private HttpCall withReuse(Reuse other) {
        return copy(method, target, path, headers, body, limits, maxAnswerBytes, other, deadlineHeader, unframedAnswer);
    }

    /** Returns a copy that tells the server its time limit in milliseconds in this header. */
    public HttpCall withDeadlineHeader(String name) {
        return withDeadlineHeader(name, 0);
    }

    /** Returns a copy that tells the server its time limit plus {@code extraMs} in this header, in milliseconds. */
    public HttpCall withDeadlineHeader(String name, long extraMs) {
        Optional<DeadlineHeader> deadline = Optional.of(new DeadlineHeader(name, extraMs));
        return copy(method, target, path, headers, body, limits, maxAnswerBytes, reuse, deadline, unframedAnswer);
    }

    /** Returns a copy that accepts an answer delimited by the end of its connection. */
    public HttpCall withUnframedAnswer() {
        return copy(method, target, path, headers, body, limits, maxAnswerBytes, reuse, deadlineHeader, true);
    }

    /** Returns a copy with another size limit of the answer, in bytes. */
    public HttpCall withMaxAnswerBytes(int max) {
        return copy(method, target, path, headers, body, limits, max, reuse, deadlineHeader, unframedAnswer);
    }

    /** Returns a copy with these headers in place of all others. */
    public HttpCall withHeaders(Map<String, String> all) {
        return copy(method, target, path, all, body, limits, maxAnswerBytes, reuse, deadlineHeader, unframedAnswer);
    }

    /**
     * Returns a copy that is sent only if the condition holds when its request is written, and fails as
     * {@link HttpFailure.NotSent} otherwise. If the call ends without its answer, its connection is reset, so that the
     * kernel drops what it has not delivered; what the server's kernel has received may still be read.
     *
     * @param holds called on the I/O thread after the connection is open; must not block or throw
     */
    public HttpCall onlyWhile(BooleanSupplier holds) {
        return with(Optional.of(holds), answerCheck);
    }

    /**
     * Returns a copy that fails if its answer does not pass a check, whatever the answer's status. Its connection is
     * then closed, because the answer that is due may still follow on it.
     *
     * @param check called on the calling thread before anything of the answer is passed on
     */
    public HttpCall withAnswerCheck(AnswerCheck check) {
        return with(condition, check);
    }

    private HttpCall with(Optional<BooleanSupplier> otherCondition, AnswerCheck otherCheck) {
        return new HttpCall(
                method,
                target,
                path,
                headers,
                body,
                limits,
                maxAnswerBytes,
                reuse,
                deadlineHeader,
                unframedAnswer,
                otherCondition,
                otherCheck);
    }

    /** Returns whether the request may be written now. */
    boolean mayBeWritten() {
        return condition.isEmpty() || condition.get().getAsBoolean();
    }

    private HttpCall copy(
            String method,
            InetSocketAddress target,
            String path,
            Map<String, String> headers,
            Content body,
            HttpLimits limits,
            int maxAnswerBytes,
            Reuse reuse,
            Optional<DeadlineHeader> deadlineHeader,
            boolean unframedAnswer) {
        return new HttpCall(
                method,
                target,
                path,
                headers,
                body,
                limits,
                maxAnswerBytes,
                reuse,
                deadlineHeader,
                unframedAnswer,
                condition,
                answerCheck);
    }
}
