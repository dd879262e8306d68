package org.magnoliabridge.calls;

/** A reason why a call has no whole answer; one type for each kind that callers can meet. */
public sealed interface Failure {
    /** The request is not valid HTTP, JSON or has wrong fields. */
    record MalformedRequest(String detail) implements Failure {}

    /** The key is missing, unknown or withdrawn. */
    record Unauthenticated() implements Failure {}

    /** The key's team may not use the service. */
    record Forbidden(String service) implements Failure {}

    /** No such route, service or run. */
    record NotFound(String what) implements Failure {}

    /** The request contradicts an earlier one with the same identity. */
    record Conflict(String detail) implements Failure {}

    /** The request's body is larger than the limit in bytes. */
    record TooLarge(long maxBytes) implements Failure {}

    /** The request's content type is not the one that the route takes. */
    record UnsupportedMediaType(String expected) implements Failure {}

    /** The team has used up its rate. */
    record RateLimited(long retryAfterMs) implements Failure {}

    /** The back end failed or could not be reached. */
    record BackEndFailed(String detail) implements Failure {}

    /** The back end's answer was not whole or not for this request. */
    record IncompleteAnswer(String detail) implements Failure {}

    /** The queue is full, or the wait would be longer than the deadline. */
    record Overloaded(long retryAfterMs) implements Failure {}

    /** This node is shutting down. */
    record Draining() implements Failure {}

    /** This node's configuration may be out of date. */
    record StaleConfiguration() implements Failure {}

    /** The platform is needed for this request and can't be reached. */
    record PlatformUnavailable(String detail) implements Failure {}

    /** The request was sent once, has no answer and must not be repeated by this node. */
    record OutcomeUnknown() implements Failure {}

    /** The deadline passed. */
    record DeadlineExceeded() implements Failure {}

    /** The caller closed its connection; nobody reads this answer. */
    record CallerGone() implements Failure {}
}
