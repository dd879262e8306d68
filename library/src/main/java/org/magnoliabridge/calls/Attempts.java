package org.magnoliabridge.calls;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.telemetry.LogFields;

/** The attempts of one request: the endpoints that were tried, the attempts and the time that are left. */
final class Attempts {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // An endpoint that refuses work has used no attempt, but a service that is full everywhere must not be asked on.
    private static final int MAX_REFUSALS = 3;
    // An attempt takes at most this part of the time left while another one is possible.
    private static final int ATTEMPT_TIME_DIVISOR = 2;

    private final PlainRequest request;
    private final CallDependencies tools;
    private final Cancellation cancellation;
    private final CallProgress progress = new CallProgress();
    private final Set<EndpointId> excluded = new HashSet<>();
    private int attempts;
    private int refusals;

    Attempts(PlainRequest request, CallDependencies tools, Cancellation cancellation) {
        this.request = request;
        this.tools = tools;
        this.cancellation = cancellation;
        tools.retryBudget().onCall();
    }

    /** Waits for a slot at an endpoint that was not tried yet. */
    EndpointSource.Slot acquire() throws CallException {
        EndpointSource.SlotRequest need = new EndpointSource.SlotRequest(
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
            EndpointSource.Slot slot = tools.endpoints().acquire(need, cancellation);
            excluded.add(slot.endpoint());
            return slot;
        } catch (CallException e) {
            throw new CallException(e.failure(), progress.executionStatus(), e);
        }
    }

    /** Counts an attempt that begins now. */
    void attemptStarted() {
        progress.attemptStarted();
        attempts++;
    }

    /** Returns the limits of the attempt that was counted last, which leave time for another one. */
    HttpLimits limits() {
        return isLast()
                ? tools.limits().deadlineOnly(remainingMs())
                : tools.limits().within(Math.max(1, remainingMs() / ATTEMPT_TIME_DIVISOR));
    }

    /** Returns the limits of a stream, which may last as long as the request. */
    HttpLimits streamLimits() {
        return isLast()
                ? tools.limits().deadlineOnly(remainingMs())
                : tools.limits().within(remainingMs());
    }

    private boolean isLast() {
        return !request.idempotent() || attempts >= request.maxAttempts();
    }

    /** Logs an attempt that brought no answer; whoever asked logs what became of the request. */
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

    /** Takes that the endpoint has begun to answer. */
    void answered() {
        progress.answered();
    }

    /** Takes that the endpoint of the last attempt could not be reached; returns what that means for the call. */
    Failure unreachable(EndpointSource.Slot slot, HttpFailure.NotSent cause) {
        notRun();
        slot.observed(EndpointSource.Observation.UNREACHABLE);
        logFailed(slot, cause.getMessage());
        return new Failure.BackEndFailed("the service could not be reached");
    }

    /** Takes that the endpoint of the last attempt did not run it; returns what that means for the call. */
    Failure refused(EndpointSource.Slot slot, BackEndRefusal refusal) {
        notRun();
        slot.observed(
                refusal.draining() ? EndpointSource.Observation.DRAINING : EndpointSource.Observation.FAULTY_ANSWER);
        logFailed(slot, "refused with status " + refusal.status());
        return new Failure.BackEndFailed("the service did not run the request");
    }

    // The attempt is not counted.
    private void notRun() {
        progress.notRun();
        attempts--;
        refusals++;
    }

    /** Returns whether a request that did not run may be sent to another endpoint. */
    boolean tryAcquireRetryAfterRefusal() {
        return refusals <= MAX_REFUSALS && tryAcquireRetry();
    }

    /** Returns whether attempts, time and the retry budget allow another attempt. */
    boolean tryAcquireRetry() {
        if (attempts >= request.maxAttempts() || cancellation.reason().isPresent() || remainingMs() <= 0) {
            return false;
        }
        boolean granted = tools.retryBudget().tryAcquire();
        if (granted) {
            tools.metrics().retries.inc();
        } else {
            tools.metrics().retriesRefused.inc();
        }
        return granted;
    }

    long remainingMs() {
        return request.deadlineMs() - tools.clock().nowMs();
    }

    /** Returns the failure of the whole call. */
    CallException toException(Failure failure) {
        return new CallException(failure, progress.executionStatus());
    }
}
