package org.magnoliabridge.calls;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.telemetry.LogFields;

/** Tracks the attempts of one request: the endpoints tried so far, and the attempts and time that remain. */
final class Attempts {
    /** Answers from this status on report a failure of the server. */
    static final int FIRST_SERVER_ERROR = 500;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // Many times the latency between data centres. A connection attempt that the request ends sooner shows nothing.
    private static final long MIN_CONNECT_MS = 250;
    // A refusal does not count as an attempt; this limit stops retries when every endpoint of a service refuses.
    private static final int MAX_REFUSALS = 3;
    // While a retry is possible, an attempt gets at most half of the remaining time.
    private static final int ATTEMPT_TIME_DIVISOR = 2;

    private final PlainRequest request;
    private final CallDependencies dependencies;
    private final Cancellation cancellation;
    private final CallProgress progress = new CallProgress();
    private final FaultAttribution faults = new FaultAttribution();
    private final Set<EndpointId> excluded = new HashSet<>();
    private long attemptStartMs;
    // The time that the request allows for the current attempt.
    private long attemptLimitMs;
    private boolean answered;
    private int attempts;
    private int refusals;

    Attempts(PlainRequest request, CallDependencies dependencies, Cancellation cancellation) {
        this.request = request;
        this.dependencies = dependencies;
        this.cancellation = cancellation;
        dependencies.retryBudget().onCall();
    }

    /**
     * Waits for a slot, at an endpoint that this request has not tried yet if there is one.
     *
     * @throws CallException also if the node shuts down and the request might outlast it
     */
    EndpointSource.Slot acquire() throws CallException {
        requireTimeToEnd();
        EndpointSource.Slot slot = awaitSlot();
        try {
            requireTimeToEnd();
        } catch (CallException e) {
            slot.close();
            throw e;
        }
        excluded.add(slot.endpoint());
        return slot;
    }

    private EndpointSource.Slot awaitSlot() throws CallException {
        EndpointSource.SlotRequest slotRequest = new EndpointSource.SlotRequest(
                request.service(),
                request.team(),
                EndpointSource.Priority.INTERACTIVE,
                1,
                0,
                "",
                request.deadlineMs(),
                Optional.empty(),
                excluded);
        try {
            return dependencies.endpoints().acquire(slotRequest, cancellation);
        } catch (CallException e) {
            throw new CallException(e.failure(), progress.executionStatus(), e);
        }
    }

    private void requireTimeToEnd() throws CallException {
        if (!dependencies.grace().maySend(dependencies.clock().nowMs(), remainingMs())) {
            throw toException(new Failure.Draining());
        }
    }

    /** Counts an attempt; called before the request is sent. */
    void attemptStarted() {
        progress.attemptStarted();
        attempts++;
        attemptStartMs = dependencies.clock().nowMs();
        answered = false;
    }

    /** Returns the time limits of the current attempt; they leave time for a retry if one is possible. */
    HttpLimits limits() {
        long remainingMs = remainingMs();
        attemptLimitMs = mayRepeat() ? Math.max(1, remainingMs / ATTEMPT_TIME_DIVISOR) : remainingMs;
        return mayRepeat()
                ? dependencies.limits().within(attemptLimitMs)
                : dependencies.limits().deadlineOnly(attemptLimitMs);
    }

    /** Returns the time limits of the current attempt of a stream, which may last until the request's deadline. */
    HttpLimits streamLimits() {
        attemptLimitMs = remainingMs();
        return mayRepeat()
                ? dependencies.limits().within(attemptLimitMs)
                : dependencies.limits().deadlineOnly(attemptLimitMs);
    }

    /** Returns whether the request may be sent to another endpoint after the current attempt. */
    boolean mayRepeat() {
        return request.idempotent() && attempts < request.maxAttempts();
    }

    /** Logs an attempt without a complete response; the caller logs the outcome of the request. */
    void logFailed(EndpointSource.Slot slot, String reason) {
        LOG.atInfo()
                .with(LogFields.REQUEST, request.id().value())
                .with(LogFields.SERVICE, request.service().value())
                .with(LogFields.ENDPOINT, slot.endpoint().value())
                .with(LogFields.TEAM, request.team().value())
                .log(
                        "attempt failed: %s; attempts %d of %d, refusals %d, %d ms left",
                        reason, attempts, request.maxAttempts(), refusals, remainingMs());
    }

    /** Records how an attempt ended, which may show a fault of its endpoint or of those before it. */
    void ended(EndpointSource.Slot slot, AttemptEnd end) {
        faults.attemptEnded(slot.endpoint(), end, slot::observed);
    }

    /** Records an attempt without a usable answer. */
    void ended(EndpointSource.Slot slot, HttpFailure failure) {
        ended(slot, endOf(failure));
    }

    private AttemptEnd endOf(HttpFailure failure) {
        return cancellation.reason().isPresent() ? AttemptEnd.STOPPED : AttemptEnd.of(failure, isTimeUp(failure));
    }

    // An endpoint that does not react at all within the node's own time limits is unresponsive, however much time the
    // request allowed.
    private boolean isTimeUp(HttpFailure failure) {
        long elapsedMs = dependencies.clock().nowMs() - attemptStartMs;
        boolean connecting = failure instanceof HttpFailure.NotSent;
        long ownLimitMs = connecting ? MIN_CONNECT_MS : dependencies.limits().firstByteMs();
        boolean unresponsive = !answered && elapsedMs >= ownLimitMs;
        return elapsedMs >= attemptLimitMs - AttemptEnd.TIME_LIMIT_MARGIN_MS && !unresponsive;
    }

    /** Records a complete answer, whatever its status. */
    void ended(EndpointSource.Slot slot, HttpAnswer answer) {
        ended(slot, answer.status() < FIRST_SERVER_ERROR ? AttemptEnd.ANSWERED : AttemptEnd.FAILED);
    }

    /** Records that the endpoint has begun to respond. */
    void answered() {
        answered = true;
        progress.answered();
    }

    /** Records that the current attempt got no connection to its endpoint; returns the failure to report. */
    Failure unreachable(EndpointSource.Slot slot, HttpFailure.NotSent cause) {
        notRun();
        ended(slot, cause);
        logFailed(slot, cause.getMessage());
        return new Failure.BackEndFailed("the service could not be reached");
    }

    /** Records that the endpoint of the current attempt refused to run the request; returns the failure to report. */
    Failure refused(EndpointSource.Slot slot, BackEndRefusal refusal) {
        notRun();
        ended(slot, refusal.draining() ? AttemptEnd.LEAVING : AttemptEnd.REFUSED);
        logFailed(slot, "refused with status " + refusal.status());
        return new Failure.BackEndFailed("the service did not run the request");
    }

    // A request that did not run counts as a refusal, not as an attempt.
    private void notRun() {
        progress.notRun();
        attempts--;
        refusals++;
    }

    /** Takes a retry from the budget for a request that did not run; returns false if no retry is allowed. */
    boolean tryAcquireRetryAfterRefusal() {
        return refusals <= MAX_REFUSALS && tryAcquireRetry();
    }

    /** Takes a retry from the budget; returns false if attempts, deadline, cancellation or budget allow none. */
    boolean tryAcquireRetry() {
        if (attempts >= request.maxAttempts() || cancellation.reason().isPresent() || remainingMs() <= 0) {
            return false;
        }
        boolean granted = dependencies.retryBudget().tryAcquire();
        if (granted) {
            dependencies.metrics().retries.inc();
        } else {
            dependencies.metrics().retriesRefused.inc();
        }
        return granted;
    }

    long remainingMs() {
        return request.deadlineMs() - dependencies.clock().nowMs();
    }

    /** Returns the exception that ends the call, with its execution status over all attempts. */
    CallException toException(Failure failure) {
        return new CallException(failure, progress.executionStatus());
    }
}
