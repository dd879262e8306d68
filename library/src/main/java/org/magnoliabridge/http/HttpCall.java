package org.magnoliabridge.http;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * An HTTP request with its limits.
 *
 * @param method for example {@code POST}
 * @param target IP address and port
 * @param path path and query, starting with a slash
 * @param headers header names and values, without Content-Length; Host only if it is not that of the target
 * @param body the content, empty for none; not copied, callers must not change it
 * @param limits time limits
 * @param maxAnswerBytes size limit of a complete answer; of one line if the answer is streamed as lines
 * @param freshConnection whether to open a new connection; for calls that must not be repeated, because the server may
 *     be closing an idle pooled connection
 * @param unframedAnswer whether to accept an answer without Content-Length and Transfer-Encoding, which ends when
 *     its connection closes
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpCall(
        String method,
        InetSocketAddress target,
        String path,
        Map<String, String> headers,
        byte[] body,
        HttpLimits limits,
        int maxAnswerBytes,
        boolean freshConnection,
        boolean unframedAnswer) {
    private static final long DEFAULT_TOTAL_MS = 5_000;
    private static final int DEFAULT_MAX_ANSWER_BYTES = 8 << 20;
    private static final byte[] NO_BODY = {};

    public HttpCall {
        Objects.requireNonNull(method);
        Objects.requireNonNull(target);
        Objects.requireNonNull(body);
        Objects.requireNonNull(limits);
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
                NO_BODY,
                HttpLimits.total(DEFAULT_TOTAL_MS),
                DEFAULT_MAX_ANSWER_BYTES,
                false,
                false);
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
        return new HttpCall(method, target, path, all, body, limits, maxAnswerBytes, freshConnection, unframedAnswer);
    }

    /** Returns a copy with another body. */
    public HttpCall withBody(byte[] content) {
        return new HttpCall(
                method, target, path, headers, content, limits, maxAnswerBytes, freshConnection, unframedAnswer);
    }

    /** Returns a copy with other limits. */
    public HttpCall withLimits(HttpLimits other) {
        return new HttpCall(
                method, target, path, headers, body, other, maxAnswerBytes, freshConnection, unframedAnswer);
    }

    /** Returns a copy that opens a new connection. */
    public HttpCall onFreshConnection() {
        return new HttpCall(method, target, path, headers, body, limits, maxAnswerBytes, true, unframedAnswer);
    }

    /** Returns a copy that accepts an answer delimited by the end of its connection. */
    public HttpCall withUnframedAnswer() {
        return new HttpCall(method, target, path, headers, body, limits, maxAnswerBytes, freshConnection, true);
    }

    /** Returns a copy with another size limit of the answer, in bytes. */
    public HttpCall withMaxAnswerBytes(int max) {
        return new HttpCall(method, target, path, headers, body, limits, max, freshConnection, unframedAnswer);
    }

    /** Returns a copy with these headers in place of all others. */
    public HttpCall withHeaders(Map<String, String> all) {
        return new HttpCall(method, target, path, all, body, limits, maxAnswerBytes, freshConnection, unframedAnswer);
    }
}
