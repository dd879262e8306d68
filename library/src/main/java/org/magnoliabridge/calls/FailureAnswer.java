package org.magnoliabridge.calls;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/**
 * The HTTP error response for a failure; the only place that maps failures to statuses and error bodies.
 *
 * @param status HTTP status
 * @param type value of the JSON field {@code type}
 * @param message human-readable text; contains no key and no prompt
 * @param executionStatus whether the request ran; the JSON field {@code run}
 * @param retryAfterMs suggested delay before a retry; 0 for none
 */
public record FailureAnswer(
        int status, String type, String message, ExecutionStatus executionStatus, long retryAfterMs) {
    private static final JsonMapper JSON = new JsonMapper();
    // The caller has closed its connection, so this status appears in metrics only.
    private static final int CLIENT_CLOSED_REQUEST = 499;

    /** Returns the response for a call that failed. */
    public static FailureAnswer of(CallException failed) {
        return of(failed.failure(), failed.executionStatus());
    }

    /** Returns the response for a failure. */
    public static FailureAnswer of(Failure failure, ExecutionStatus run) {
        return switch (failure) {
            case Failure.MalformedRequest f -> answer(400, "malformed_request", f.detail(), run);
            case Failure.Unauthenticated f -> answer(401, "unauthenticated", "a valid key is needed", run);
            case Failure.Forbidden f ->
                answer(403, "forbidden", "the key's team may not use service " + f.service(), run);
            case Failure.NotFound f -> answer(404, "not_found", f.what() + " was not found", run);
            case Failure.Conflict f -> answer(409, "conflict", f.detail(), run);
            case Failure.TooLarge f ->
                answer(413, "too_large", "the body is larger than " + f.maxBytes() + " bytes", run);
            case Failure.BodyStalled f ->
                answer(408, "body_stalled", "the body made no progress for " + f.limitMs() + " ms", run);
            case Failure.UnsupportedMediaType f ->
                answer(415, "unsupported_media_type", "the content type must be " + f.expected(), run);
            case Failure.RateLimited f ->
                new FailureAnswer(429, "rate_limited", "the team's rate is used up", run, f.retryAfterMs());
            case Failure.BackEndFailed f -> answer(502, "back_end_failed", f.detail(), run);
            case Failure.IncompleteAnswer f -> answer(502, "incomplete_answer", f.detail(), run);
            case Failure.Overloaded f ->
                new FailureAnswer(503, "overloaded", "too much work is waiting", run, f.retryAfterMs());
            case Failure.Draining f -> answer(503, "draining", "this node is shutting down; use another address", run);
            case Failure.StaleConfiguration f ->
                answer(503, "stale_configuration", "this node can't confirm its configuration", run);
            case Failure.PlatformUnavailable f -> answer(503, "platform_unavailable", f.detail(), run);
            case Failure.OutcomeUnknown f ->
                answer(504, "outcome_unknown", "the request was sent and no answer came", run);
            case Failure.DeadlineExceeded f -> answer(504, "deadline_exceeded", "the deadline passed", run);
            case Failure.CallerGone f ->
                answer(CLIENT_CLOSED_REQUEST, "caller_gone", "the caller closed the connection", run);
        };
    }

    /** Returns the JSON body. */
    public byte[] body() {
        ObjectNode root = JSON.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("type", type);
        error.put("message", message);
        error.put("run", executionStatus.text());
        if (retryAfterMs > 0) {
            error.put("retry_after_ms", retryAfterMs);
        }
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static FailureAnswer answer(int status, String type, String message, ExecutionStatus run) {
        return new FailureAnswer(status, type, message, run, 0);
    }
}
