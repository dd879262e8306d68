package org.magnoliabridge.calls;

/** The reason why a call has no complete response; one type for each kind of failure that callers can receive. */
public sealed interface Failure {
    /** The request is not valid HTTP or JSON, or its fields are invalid. */
    record MalformedRequest(String detail) implements Failure {}

    /** The key is missing, unknown or withdrawn. */
    record Unauthenticated() implements Failure {}

    /** The key's team may not use the service. */
    record Forbidden(String service) implements Failure {}

    /** No such route, service or run. */
    record NotFound(String what) implements Failure {}

    /** The request conflicts with an earlier one, or with the current state of its target. */
    record Conflict(String detail) implements Failure {}

    /** The request's body is larger than the limit in bytes. */
    record TooLarge(long maxBytes) implements Failure {}

    /** The request's body made no progress for the time in milliseconds before it was complete. */
    record BodyStalled(long limitMs) implements Failure {}

    /** The request's content type is not the one that the route accepts. */
    record UnsupportedMediaType(String expected) implements Failure {}

    /** The team has exceeded its rate limit. */
    record RateLimited(long retryAfterMs) implements Failure {}

    /** The back end failed or could not be reached. */
    record BackEndFailed(String detail) implements Failure {}

    /** The back end's response was incomplete or did not belong to this request. */
    record IncompleteAnswer(String detail) implements Failure {}

    /** The queue is full, or the expected wait exceeds the deadline. */
    record Overloaded(long retryAfterMs) implements Failure {}

    /** This node is shutting down. */
    record Draining() implements Failure {}

    /** This node's configuration may be out of date. */
    record StaleConfiguration() implements Failure {}

    /** The request needs the platform, which can't be reached. */
    record PlatformUnavailable(String detail) implements Failure {}

    /** The request was sent without receiving a response, and this node must not retry it. */
    record OutcomeUnknown() implements Failure {}

    /** The deadline passed. */
    record DeadlineExceeded() implements Failure {}

    /** The caller closed its connection, so nobody receives this failure. */
    record CallerGone() implements Failure {}
}
