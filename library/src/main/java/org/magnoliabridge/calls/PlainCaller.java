package org.magnoliabridge.calls;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.ids.EndpointId;

/**
 * Calls plain services; repeats a request only if the route is idempotent or the request certainly did not run.
 *
 * <p>Calls block, so they are made from traffic threads.
 */
public final class PlainCaller {
    private static final int MAX_RETRIES = 1;

    private final PlainServiceAdapter services;
    private final CallTools tools;

    public PlainCaller(PlainServiceAdapter services, CallTools tools) {
        this.services = services;
        this.tools = tools;
    }

    /**
     * Calls the service and returns its whole answer, whatever its status.
     *
     * @throws CallException if there is no whole answer; {@link CallException#run} says whether the request ran
     */
    public PlainAnswer call(PlainRequest request, Cancellation cancellation) throws CallException {
        tools.budget().onCall();
        CallProgress progress = new CallProgress();
        Set<EndpointId> excluded = new HashSet<>();
        Attempt attempt = attempt(request, cancellation, progress, excluded);
        int retries = 0;
        while (attempt.answer().isEmpty() && attempt.repeatable() && retries < MAX_RETRIES) {
            if (!tools.budget().tryRetry()) {
                tools.metrics().retriesRefused.inc();
                break;
            }
            retries++;
            tools.metrics().retries.inc();
            attempt = attempt(request, cancellation, progress, excluded);
        }
        if (attempt.answer().isPresent()) {
            return attempt.answer().get();
        }
        throw new CallException(attempt.failure(), progress.claim());
    }

    private record Attempt(Optional<PlainAnswer> answer, Failure failure, boolean repeatable) {
        static Attempt failed(Failure failure, boolean repeatable) {
            return new Attempt(Optional.empty(), failure, repeatable);
        }
    }

    private Attempt attempt(
            PlainRequest request, Cancellation cancellation, CallProgress progress, Set<EndpointId> excluded)
            throws CallException {
        try (EndpointSource.Slot slot = acquire(request, cancellation, progress, excluded)) {
            excluded.add(slot.endpoint());
            long remainingMs = request.deadlineMs() - tools.clock().nowMs();
            if (remainingMs <= 0) {
                return Attempt.failed(new Failure.DeadlineExceeded(), false);
            }
            Spans.Span span = tools.spans()
                    .start("plain", request.trace())
                    .set("endpoint", slot.endpoint().value());
            Attempt attempt = send(request, slot, span.context(), remainingMs, progress);
            span.end(attempt.answer().isPresent() ? "ok" : "failed");
            return attempt;
        }
    }

    private EndpointSource.Slot acquire(
            PlainRequest request, Cancellation cancellation, CallProgress progress, Set<EndpointId> excluded)
            throws CallException {
        EndpointSource.Need need = new EndpointSource.Need(
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
            return tools.endpoints().acquire(need, cancellation);
        } catch (CallException e) {
            throw new CallException(e.failure(), progress.claim(), e);
        }
    }

    private Attempt send(
            PlainRequest request,
            EndpointSource.Slot slot,
            TraceContext trace,
            long remainingMs,
            CallProgress progress) {
        progress.sending();
        try {
            HttpAnswer answer =
                    services.send(request, slot.address(), tools.limits().within(remainingMs), trace);
            progress.answered();
            return answered(slot, answer, progress);
        } catch (HttpFailure.NotSent e) {
            progress.notRun();
            slot.observed(EndpointSource.Observation.UNREACHABLE);
            return Attempt.failed(new Failure.BackEndFailed("the service could not be reached"), true);
        } catch (HttpFailure.TooLarge e) {
            progress.answered();
            return Attempt.failed(new Failure.IncompleteAnswer("the answer is over the size limit"), false);
        } catch (HttpFailure e) {
            boolean late = request.deadlineMs() <= tools.clock().nowMs();
            return lost(request, late);
        }
    }

    private Attempt answered(EndpointSource.Slot slot, HttpAnswer answer, CallProgress progress) {
        BackEndRefusal refusal = BackEndRefusal.of(answer);
        if (refusal.notRun()) {
            progress.notRun();
            slot.observed(
                    refusal.draining()
                            ? EndpointSource.Observation.DRAINING
                            : EndpointSource.Observation.FAULTY_ANSWER);
            return Attempt.failed(new Failure.BackEndFailed("the service did not run the request"), true);
        }
        slot.observed(EndpointSource.Observation.ANSWERED);
        PlainAnswer plain = new PlainAnswer(answer.status(), PlainHeaders.ofAnswer(answer.headers()), answer.body());
        return new Attempt(Optional.of(plain), null, false);
    }

    private Attempt lost(PlainRequest request, boolean late) {
        tools.metrics().brokenAnswers.inc();
        if (!request.idempotent()) {
            return Attempt.failed(new Failure.OutcomeUnknown(), false);
        }
        return late
                ? Attempt.failed(new Failure.DeadlineExceeded(), false)
                : Attempt.failed(new Failure.IncompleteAnswer("the service's answer did not come whole"), true);
    }
}
