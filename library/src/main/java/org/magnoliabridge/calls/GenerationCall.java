package org.magnoliabridge.calls;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.RequestId;

/** A generation with all its attempts. Not thread-safe, but the cancellation may be used from any thread. */
final class GenerationCall {
    // A request that makes engines fail is sent to at most three of them.
    private static final int MAX_RETRIES = 2;

    private final EngineAdapter adapter;
    private final CallDependencies dependencies;
    private final GenerationRequest request;
    private final Cancellation cancellation;
    private final TokenReceiver receiver;
    private final CallProgress progress = new CallProgress();
    private final FaultAttribution faults = new FaultAttribution();
    private final Set<EndpointId> excluded = new HashSet<>();
    private final StringBuilder text = new StringBuilder();
    private VersionRangeBuilder ranges = new VersionRangeBuilder();
    private int retries;
    private boolean tooManyTokens;

    /** Creates a call; {@code receiver} is null if the result is not streamed. */
    GenerationCall(
            EngineAdapter adapter,
            CallDependencies dependencies,
            GenerationRequest request,
            Cancellation cancellation,
            TokenReceiver receiver) {
        this.adapter = adapter;
        this.dependencies = dependencies;
        this.request = request;
        this.cancellation = cancellation;
        this.receiver = receiver;
    }

    /** The outcome of an attempt. */
    private sealed interface Outcome {
        record Done(FinishReason reason) implements Outcome {}

        record Failed(Failure failure, boolean resumable) implements Outcome {}
    }

    Generation run() throws CallException {
        dependencies.retryBudget().onCall();
        Outcome outcome = attempt();
        while (outcome instanceof Outcome.Failed failed) {
            prepareRetry(failed);
            // All tokens have been delivered and only the end of the stream was lost: nothing is left to generate.
            outcome = ranges.tokens() == request.maxTokens() ? new Outcome.Done(FinishReason.LENGTH) : attempt();
        }
        FinishReason reason = ((Outcome.Done) outcome).reason();
        return new Generation(text.toString(), ranges.tokens(), request.promptTokens(), reason, ranges.ranges());
    }

    private void prepareRetry(Outcome.Failed attempt) throws CallException {
        throwIfStopped();
        Failure failure = attempt.failure();
        if (receiver != null && !attempt.resumable()) {
            throw toException(failure);
        }
        boolean completed = receiver != null && ranges.tokens() == request.maxTokens();
        if (!completed) {
            if (retries == MAX_RETRIES) {
                throw toException(failure);
            }
            if (!dependencies.retryBudget().tryAcquire()) {
                dependencies.metrics().retriesRefused.inc();
                throw toException(failure);
            }
            retries++;
        }
        if (receiver == null) {
            dependencies.metrics().retries.inc();
            text.setLength(0);
            ranges = new VersionRangeBuilder();
        } else {
            dependencies.metrics().resumes.inc();
        }
    }

    private Outcome attempt() throws CallException {
        throwIfStopped();
        try (EndpointSource.Slot slot = acquire()) {
            throwIfStopped();
            int before = ranges.tokens();
            Spans.Span span = dependencies
                    .spans()
                    .start("generate", request.trace())
                    .set("endpoint", slot.endpoint().value());
            Outcome outcome = attempt(slot, span.context());
            span.end(outcome instanceof Outcome.Failed ? "failed" : "ok");
            slot.release(request.promptTokens() + ranges.tokens() - before);
            if (outcome instanceof Outcome.Failed) {
                excluded.add(slot.endpoint());
            }
            return outcome;
        }
    }

    private EndpointSource.Slot acquire() throws CallException {
        int promptTokens = request.promptTokens() + ranges.tokens();
        EndpointSource.SlotRequest slotRequest = new EndpointSource.SlotRequest(
                request.service(),
                request.team(),
                request.priority(),
                request.promptTokens() + request.maxTokens(),
                promptTokens,
                request.prefixHash(),
                request.deadlineMs(),
                ranges.last(),
                excluded,
                request.minVersion());
        try {
            return dependencies.endpoints().acquire(slotRequest, cancellation);
        } catch (CallException e) {
            // This attempt was not sent, but an earlier one may have run: report the status over all attempts.
            throw new CallException(e.failure(), progress.executionStatus(), e);
        }
    }

    private Outcome attempt(EndpointSource.Slot slot, TraceContext trace) throws CallException {
        RequestId hopId = dependencies.requestIds().get();
        GenerationCheck check = new GenerationCheck(hopId);
        EngineAdapter.GenerateCall call = new EngineAdapter.GenerateCall(
                slot.address(),
                hopId,
                request.prompt() + text,
                request.maxTokens() - ranges.tokens(),
                dependencies.limits().within(remainingMs()),
                trace);
        progress.attemptStarted();
        Cancellation.Registration stop = cancellation.onCancel(() -> cancelAt(slot.address(), hopId));
        try {
            adapter.generate(call, event -> onEvent(check, event));
        } catch (EngineFailure e) {
            return engineFailed(slot, hopId, check, e);
        } finally {
            stop.close();
            dependencies.metrics().foreignEvents.inc(check.foreignEvents());
        }
        return responseEnded(slot, hopId, check);
    }

    private boolean onEvent(GenerationCheck check, EngineEvent event) {
        if (cancellation.reason().isPresent()) {
            return false;
        }
        progress.answered();
        return switch (check.accept(event)) {
            case GenerationCheck.Verdict.NoToken ignored -> true;
            case GenerationCheck.Verdict.Broken broken -> false;
            case GenerationCheck.Verdict.Accepted accepted -> onToken(accepted.token());
        };
    }

    private boolean onToken(EngineEvent.Token token) {
        int index = ranges.tokens();
        if (index == request.maxTokens()) {
            tooManyTokens = true;
            return false;
        }
        ranges.add(token.version());
        text.append(token.token());
        if (receiver != null && !receiver.onToken(index, token.token(), token.version())) {
            cancellation.cancel(Cancellation.Reason.CALLER_GONE);
            return false;
        }
        return true;
    }

    private Outcome responseEnded(EndpointSource.Slot slot, RequestId hopId, GenerationCheck check)
            throws CallException {
        throwIfStopped();
        Optional<String> fault = check.incompleteReason();
        if (fault.isEmpty()) {
            ended(slot, AttemptEnd.ANSWERED);
            return new Outcome.Done(check.finishReason().orElseThrow());
        }
        dependencies.metrics().brokenAnswers.inc();
        ended(slot, AttemptEnd.BROKEN);
        cancelAt(slot.address(), hopId);
        String detail = tooManyTokens ? "the engine sent more tokens than asked for" : fault.get();
        boolean resumable = !tooManyTokens && !check.isContradicted();
        tooManyTokens = false;
        return new Outcome.Failed(new Failure.IncompleteAnswer(detail), resumable);
    }

    private Outcome engineFailed(
            EndpointSource.Slot slot, RequestId hopId, GenerationCheck check, EngineFailure failure)
            throws CallException {
        if (failure instanceof EngineFailure.NotSent) {
            progress.notRun();
        }
        if (failure instanceof EngineFailure.Refused refused) {
            return refused(slot, refused.refusal());
        }
        if (failure instanceof EngineFailure.Lost) {
            cancelAt(slot.address(), hopId);
        }
        throwIfStopped();
        if (failure instanceof EngineFailure.Lost && check.incompleteReason().isEmpty()) {
            // The response is complete including its end mark; only the end of the connection was lost.
            return responseEnded(slot, hopId, check);
        }
        probe(slot);
        boolean begun = check.finishReason().isPresent() || progress.state() == CallState.ANSWERED;
        return new Outcome.Failed(
                begun
                        ? new Failure.IncompleteAnswer("the engine's answer broke off")
                        : new Failure.BackEndFailed(failure.getMessage()),
                !check.isContradicted());
    }

    private Outcome refused(EndpointSource.Slot slot, BackEndRefusal refusal) {
        if (refusal.notRun()) {
            progress.notRun();
        }
        AttemptEnd end = refusal.notRun() ? AttemptEnd.REFUSED : AttemptEnd.FAILED;
        ended(slot, refusal.draining() ? AttemptEnd.LEAVING : end);
        return new Outcome.Failed(
                new Failure.BackEndFailed("the engine answered with status " + refusal.status()), true);
    }

    // One connection can stop delivering data while new ones work, so the engine counts as unreachable only if a new
    // connection fails too.
    private void probe(EndpointSource.Slot slot) {
        try {
            adapter.fetchLoad(slot.address());
        } catch (EngineFailure e) {
            dependencies.metrics().probesFailed.inc();
            ended(slot, AttemptEnd.UNREACHABLE);
        }
    }

    private void ended(EndpointSource.Slot slot, AttemptEnd end) {
        faults.attemptEnded(slot.endpoint(), end, slot::observed);
    }

    private void cancelAt(InetSocketAddress engine, RequestId hopId) {
        dependencies.metrics().cancels.inc();
        dependencies.background().execute(() -> adapter.cancel(engine, hopId));
    }

    private void throwIfStopped() throws CallException {
        Optional<Cancellation.Reason> reason = cancellation.reason();
        if (reason.isPresent()) {
            throw toException(Cancellation.failure(reason.get()));
        }
        if (remainingMs() <= 0) {
            throw toException(new Failure.DeadlineExceeded());
        }
    }

    private long remainingMs() {
        return request.deadlineMs() - dependencies.clock().nowMs();
    }

    private CallException toException(Failure failure) {
        return new CallException(failure, progress.executionStatus());
    }
}
