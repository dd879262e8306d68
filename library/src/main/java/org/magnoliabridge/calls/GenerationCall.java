package org.magnoliabridge.calls;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.RequestId;

/** One generation over all its attempts. Used by one thread, except for the cancellation. */
final class GenerationCall {
    // A third engine is tried; a request that breaks three engines is not tried on a fourth.
    private static final int MAX_RETRIES = 2;

    private final EngineAdapter engines;
    private final CallDependencies tools;
    private final GenerationRequest request;
    private final Cancellation cancellation;
    private final TokenReceiver receiver;
    private final CallProgress progress = new CallProgress();
    private final Set<EndpointId> excluded = new HashSet<>();
    private final StringBuilder text = new StringBuilder();
    private VersionRangeBuilder ranges = new VersionRangeBuilder();
    private int retries;
    private boolean tooManyTokens;

    /** Creates a call; {@code receiver} is null for a whole answer. */
    GenerationCall(
            EngineAdapter engines,
            CallDependencies tools,
            GenerationRequest request,
            Cancellation cancellation,
            TokenReceiver receiver) {
        this.engines = engines;
        this.tools = tools;
        this.request = request;
        this.cancellation = cancellation;
        this.receiver = receiver;
    }

    /** How an attempt ended. */
    private sealed interface Outcome {
        record Done(FinishReason reason) implements Outcome {}

        record Failed(Failure failure, boolean resumable) implements Outcome {}
    }

    Generation run() throws CallException {
        tools.retryBudget().onCall();
        Outcome outcome = attempt();
        while (outcome instanceof Outcome.Failed failed) {
            prepareRetry(failed);
            // Every token was handed over and only the end was lost, so nothing is left to generate.
            outcome = ranges.tokens() == request.maxTokens() ? new Outcome.Done(FinishReason.LENGTH) : attempt();
        }
        FinishReason reason = ((Outcome.Done) outcome).reason();
        return new Generation(text.toString(), ranges.tokens(), request.promptTokens(), reason, ranges.ranges());
    }

    private void prepareRetry(Outcome.Failed attempt) throws CallException {
        throwIfStopped();
        Failure failure = attempt.failure();
        if (receiver != null && !attempt.resumable()) {
            throw failed(failure);
        }
        boolean completed = receiver != null && ranges.tokens() == request.maxTokens();
        if (!completed) {
            if (retries == MAX_RETRIES) {
                throw failed(failure);
            }
            if (!tools.retryBudget().tryAcquire()) {
                tools.metrics().retriesRefused.inc();
                throw failed(failure);
            }
            retries++;
        }
        if (receiver == null) {
            tools.metrics().retries.inc();
            text.setLength(0);
            ranges = new VersionRangeBuilder();
        } else {
            tools.metrics().resumes.inc();
        }
    }

    private Outcome attempt() throws CallException {
        throwIfStopped();
        try (EndpointSource.Slot slot = acquire()) {
            throwIfStopped();
            int before = ranges.tokens();
            Spans.Span span = tools.spans()
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
        EndpointSource.SlotRequest need = new EndpointSource.SlotRequest(
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
            return tools.endpoints().acquire(need, cancellation);
        } catch (CallException e) {
            // An earlier attempt may have run, so the refusal of this wait says only what is true for the whole call.
            throw new CallException(e.failure(), progress.executionStatus(), e);
        }
    }

    private Outcome attempt(EndpointSource.Slot slot, TraceContext trace) throws CallException {
        RequestId hop = tools.requestIds().get();
        GenerationCheck check = new GenerationCheck(hop);
        EngineAdapter.GenerateCall call = new EngineAdapter.GenerateCall(
                slot.address(),
                hop,
                request.prompt() + text,
                request.maxTokens() - ranges.tokens(),
                tools.limits().within(remainingMs()),
                trace);
        progress.attemptStarted();
        Cancellation.Registration stop = cancellation.onCancel(() -> cancelAt(slot.address(), hop));
        try {
            engines.generate(call, event -> onEvent(check, event));
        } catch (EngineFailure e) {
            return failed(slot, hop, check, e);
        } finally {
            stop.close();
            tools.metrics().foreignEvents.inc(check.foreignEvents());
        }
        return ended(slot, hop, check);
    }

    private boolean onEvent(GenerationCheck check, EngineEvent event) {
        if (cancellation.reason().isPresent()) {
            return false;
        }
        progress.answered();
        return switch (check.accept(event)) {
            case GenerationCheck.Verdict.NoToken q -> true;
            case GenerationCheck.Verdict.Broken b -> false;
            case GenerationCheck.Verdict.Accepted a -> onToken(a.token());
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

    private Outcome ended(EndpointSource.Slot slot, RequestId hop, GenerationCheck check) throws CallException {
        throwIfStopped();
        Optional<String> fault = check.incompleteReason();
        if (fault.isEmpty()) {
            slot.observed(EndpointSource.Observation.ANSWERED);
            return new Outcome.Done(check.finishReason().orElseThrow());
        }
        tools.metrics().brokenAnswers.inc();
        slot.observed(EndpointSource.Observation.FAULTY_ANSWER);
        cancelAt(slot.address(), hop);
        String detail = tooManyTokens ? "the engine sent more tokens than asked for" : fault.get();
        boolean resumable = !tooManyTokens && !check.isContradicted();
        tooManyTokens = false;
        return new Outcome.Failed(new Failure.IncompleteAnswer(detail), resumable);
    }

    private Outcome failed(EndpointSource.Slot slot, RequestId hop, GenerationCheck check, EngineFailure failure)
            throws CallException {
        if (failure instanceof EngineFailure.NotSent) {
            progress.notRun();
        }
        if (failure instanceof EngineFailure.Refused refused) {
            return refused(slot, refused.refusal());
        }
        if (failure instanceof EngineFailure.Lost) {
            cancelAt(slot.address(), hop);
        }
        throwIfStopped();
        if (failure instanceof EngineFailure.Lost && check.incompleteReason().isEmpty()) {
            // Only the connection's end was lost: the answer had its end mark.
            return ended(slot, hop, check);
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
        slot.observed(
                refusal.draining() ? EndpointSource.Observation.DRAINING : EndpointSource.Observation.FAULTY_ANSWER);
        return new Outcome.Failed(
                new Failure.BackEndFailed("the engine answered with status " + refusal.status()), true);
    }

    // A connection can go silent for good while new ones work, so the engine is blamed only if a new one fails too.
    private void probe(EndpointSource.Slot slot) {
        try {
            engines.fetchLoad(slot.address());
        } catch (EngineFailure e) {
            tools.metrics().probesFailed.inc();
            slot.observed(EndpointSource.Observation.UNREACHABLE);
        }
    }

    private void cancelAt(InetSocketAddress engine, RequestId hop) {
        tools.metrics().cancels.inc();
        tools.background().execute(() -> engines.cancel(engine, hop));
    }

    private void throwIfStopped() throws CallException {
        Optional<Cancellation.Reason> reason = cancellation.reason();
        if (reason.isPresent()) {
            throw failed(Cancellation.failure(reason.get()));
        }
        if (remainingMs() <= 0) {
            throw failed(new Failure.DeadlineExceeded());
        }
    }

    private long remainingMs() {
        return request.deadlineMs() - tools.clock().nowMs();
    }

    private CallException failed(Failure failure) {
        return new CallException(failure, progress.executionStatus());
    }
}
