package org.magnoliabridge.external;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.IntPredicate;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCall;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.http.HttpLimits;

/** Makes calls to one platform interface and turns transport failures and statuses into {@link PlatformException}. */
public final class PlatformHttp {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final long MS_PER_SECOND = 1_000;
    private static final long DEFAULT_RETRY_AFTER_MS = 1_000;
    private static final int MAX_QUOTED_CHARS = 200;

    private final HttpCaller caller;
    private final InetSocketAddress target;
    private final HttpLimits limits;
    private final IntPredicate refusals;

    /** Creates a client of an interface whose server errors do not tell whether a change took effect. */
    public PlatformHttp(HttpCaller caller, InetSocketAddress target, HttpLimits limits) {
        this(caller, target, limits, status -> false);
    }

    /**
     * Creates a client.
     *
     * @param refusals accepts the server error statuses that guarantee that the call took no effect
     */
    public PlatformHttp(HttpCaller caller, InetSocketAddress target, HttpLimits limits, IntPredicate refusals) {
        this.caller = Objects.requireNonNull(caller);
        this.target = Objects.requireNonNull(target);
        this.limits = Objects.requireNonNull(limits);
        this.refusals = Objects.requireNonNull(refusals);
    }

    /** Returns a GET call with the limits of this interface. */
    public HttpCall get(String path) {
        return HttpCall.get(target, path).withLimits(limits);
    }

    /** Returns a call with a JSON body and the limits of this interface. */
    public HttpCall send(String method, String path, byte[] body) {
        return HttpCall.json(method, target, path, body).withLimits(limits);
    }

    /** Makes a call that changes nothing, so a lost answer is reported as {@link PlatformException.Unavailable}. */
    public HttpAnswer read(HttpCall call) throws PlatformException {
        return run(call.repeatable(), false);
    }

    /** Makes a call that may change something. */
    public HttpAnswer change(HttpCall call) throws PlatformException {
        return run(call, true);
    }

    private HttpAnswer run(HttpCall call, boolean change) throws PlatformException {
        try {
            return checked(caller.call(call), change);
        } catch (HttpFailure e) {
            throw failure(call.path() + ": " + e.getMessage(), change, e);
        }
    }

    private static PlatformException failure(String text, boolean change, HttpFailure cause) {
        return switch (cause) {
            case HttpFailure.NotSent e -> new PlatformException.Unavailable(text, e);
            case HttpFailure.Lost e ->
                change ? new PlatformException.OutcomeUnknown(text, e) : new PlatformException.Unavailable(text, e);
            case HttpFailure.TooLarge e ->
                change ? new PlatformException.OutcomeUnknown(text, e) : new PlatformException.Malformed(text, e);
        };
    }

    // A server error does not prove that a write took no effect, so the outcome of the write is unknown.
    private HttpAnswer checked(HttpAnswer answer, boolean change) throws PlatformException {
        int status = answer.status();
        if (status == 429) {
            throw new PlatformException.RateLimited(retryAfterMs(answer));
        }
        if (status >= 500 && change && !refusals.test(status)) {
            throw new PlatformException.OutcomeUnknown("status " + status, null);
        }
        if (status >= 500) {
            throw new PlatformException.Unavailable("status " + status, null);
        }
        return answer;
    }

    private static long retryAfterMs(HttpAnswer answer) {
        try {
            double seconds = answer.header("retry-after")
                    .map(String::trim)
                    .map(Double::valueOf)
                    .orElse(0.0);
            return seconds > 0 ? (long) Math.ceil(seconds * MS_PER_SECOND) : DEFAULT_RETRY_AFTER_MS;
        } catch (NumberFormatException e) {
            return DEFAULT_RETRY_AFTER_MS;
        }
    }

    /** Returns the exception for a status that the caller does not expect. */
    public static PlatformException rejected(HttpAnswer answer) {
        String text = answer.text();
        String quoted = text.length() > MAX_QUOTED_CHARS ? text.substring(0, MAX_QUOTED_CHARS) : text;
        return new PlatformException.Rejected(answer.status(), quoted.replaceAll("\\p{Cntrl}", " "));
    }

    /** Checks the answer to an order, which is 200, or 409 if a higher fencing token has been seen. */
    static void requireAccepted(HttpAnswer answer) throws PlatformException {
        switch (answer.status()) {
            case 200 -> {}
            case 409 -> throw new PlatformException.Superseded("a higher fencing token has been seen");
            default -> throw rejected(answer);
        }
    }

    /** Returns the JSON of an answer with status 200. */
    public static JsonNode json(HttpAnswer answer) throws PlatformException {
        if (answer.status() != 200) {
            throw rejected(answer);
        }
        try {
            return JSON.readTree(answer.body());
        } catch (IOException e) {
            throw new PlatformException.Malformed("answer is not JSON", e);
        }
    }

    /** Returns a required string field. */
    public static String text(JsonNode node, String field) throws PlatformException {
        JsonNode value = node.get(field);
        if (value == null || !value.isTextual()) {
            throw new PlatformException.Malformed("field " + field + " is missing or not a string", null);
        }
        return value.textValue();
    }

    /** Returns a required integer field. */
    public static long number(JsonNode node, String field) throws PlatformException {
        JsonNode value = node.get(field);
        if (value == null || !value.canConvertToLong()) {
            throw new PlatformException.Malformed("field " + field + " is missing or not an integer", null);
        }
        return value.longValue();
    }

    /** Returns a value as JSON. */
    public static byte[] bytes(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be written as JSON", e);
        }
    }

    /** Returns the value URL-encoded for a query string. */
    public static String query(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }
}
