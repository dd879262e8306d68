package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.ExecutionStatus;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.calls.PlainAnswer;
import org.magnoliabridge.calls.PlainCaller;
import org.magnoliabridge.calls.PlainRequest;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.edge.IdempotentCalls;
import org.magnoliabridge.external.CallStart;
import org.magnoliabridge.external.StoreRequest.Priority;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.ledger.LedgerCore;
import org.magnoliabridge.ledger.LedgerEffect;
import org.magnoliabridge.ledger.LedgerInput;
import org.magnoliabridge.ledger.LedgerKey;
import org.magnoliabridge.ledger.StoredAnswer;
import org.magnoliabridge.memory.Content;
import org.magnoliabridge.telemetry.LogFields;

/** Makes calls with an idempotency key; the ledger core runs on the control thread, the calls on virtual threads. */
final class LedgerDriver implements IdempotentCalls {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String KEY_HEADER = "idempotency-key";
    private static final long ANSWER_MARGIN_MS = 1_000;
    private static final long RETRY_AFTER_MS = 1_000;
    private static final int OK = 200;
    private static final LedgerEffect.Outcome TOO_LATE = new LedgerEffect.NotRun(LedgerEffect.Reason.DEADLINE_EXCEEDED);

    private final LedgerCore core;
    private final PlainCaller plain;
    private final ControlLoop loop;
    private final MonotonicClock clock;
    private final LongSupplier wallClock;
    private final StoreRunner store;
    private final MetricRegistry metrics;
    private final AtomicLong lastCall = new AtomicLong();
    // Accessed on the control thread only.
    private final Map<Long, PendingCall> pending = new HashMap<>();

    /**
     * Creates a driver.
     *
     * @param wallClock milliseconds since the epoch; ledger records outlive the process
     */
    LedgerDriver(
            LedgerCore core,
            PlainCaller plain,
            ControlLoop loop,
            MonotonicClock clock,
            LongSupplier wallClock,
            StoreRunner store,
            MetricRegistry metrics) {
        this.core = core;
        this.plain = plain;
        this.loop = loop;
        this.clock = clock;
        this.wallClock = wallClock;
        this.store = store;
        this.metrics = metrics;
    }

    /** Lets the core act on its timers; called on the control thread at least every 100 ms. */
    void tick() {
        handle(new LedgerInput.Tick());
    }

    @Override
    public PlainAnswer call(String key, Optional<String> outcomePath, PlainRequest request, Cancellation cancellation)
            throws CallException {
        long callId = lastCall.incrementAndGet();
        LedgerKey ledgerKey = new LedgerKey(request.team(), request.service(), key);
        PlainRequest scoped = withScopedKey(request, key);
        PendingCall call = new PendingCall(scoped, new CompletableFuture<>());
        long remainingMs = Math.max(1, request.deadlineMs() - clock.nowMs());
        long wallDeadlineMs = wallClock.getAsLong() + remainingMs;
        LedgerInput input = new LedgerInput.Call(callId, ledgerKey, digest(request), wallDeadlineMs);
        CallStart start = new CallStart(clock, request.deadlineMs(), () -> call.outcome.complete(TOO_LATE));
        loop.post(() -> {
            if (start.begin()) {
                pending.put(callId, call);
                handle(input);
            }
        });
        return answer(await(call, remainingMs, start), outcomePath, scoped);
    }

    // Two teams may use the same key, so the key that is sent to the service starts with the team.
    private static PlainRequest withScopedKey(PlainRequest request, String key) {
        Map<String, String> headers = new LinkedHashMap<>(request.headers());
        headers.put(KEY_HEADER, request.team() + "." + key);
        return copy(request, request.method(), request.path(), headers, request.body(), request.deadlineMs());
    }

    private static PlainRequest copy(
            PlainRequest request,
            String method,
            String path,
            Map<String, String> headers,
            Content body,
            long deadlineMs) {
        return new PlainRequest(
                request.service(),
                request.team(),
                method,
                path,
                headers,
                body,
                request.idempotent(),
                request.maxAttempts(),
                deadlineMs,
                request.id(),
                request.trace());
    }

    // The digest covers method and path, because the same body on another path is a different request.
    private static String digest(PlainRequest request) {
        return LedgerKey.digestOf(request.method() + " " + request.path() + "\n", request.body());
    }

    private static LedgerEffect.Outcome await(PendingCall call, long remainingMs, CallStart start)
            throws CallException {
        try {
            return call.outcome.get(remainingMs + ANSWER_MARGIN_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            if (e instanceof InterruptedException) {
                Thread.currentThread().interrupt();
            }
            if (start.giveUp()) {
                return TOO_LATE;
            }
            throw new CallException(new Failure.OutcomeUnknown(), ExecutionStatus.UNKNOWN, e);
        }
    }

    private PlainAnswer answer(LedgerEffect.Outcome outcome, Optional<String> outcomePath, PlainRequest request)
            throws CallException {
        return switch (outcome) {
            case LedgerEffect.Ran ran -> answer(ran, outcomePath, request);
            case LedgerEffect.NotRun notRun -> throw CallException.notRun(failure(notRun.reason()));
            case LedgerEffect.Conflict conflict ->
                throw CallException.notRun(new Failure.Conflict("the idempotency key was used for another request"));
            case LedgerEffect.Unknown unknown -> lookUpOutcome(outcomePath, request);
        };
    }

    private PlainAnswer answer(LedgerEffect.Ran ran, Optional<String> outcomePath, PlainRequest request)
            throws CallException {
        if (ran.repeated()) {
            metrics.counter("ledger.repeats").inc();
        }
        if (!ran.answer().complete()) {
            return lookUpOutcome(outcomePath, request);
        }
        Map<String, String> headers = ran.answer().contentType().isEmpty()
                ? Map.of()
                : Map.of("content-type", ran.answer().contentType());
        return new PlainAnswer(ran.answer().status(), headers, ran.answer().body());
    }

    private static Failure failure(LedgerEffect.Reason reason) {
        return switch (reason) {
            case PLATFORM_UNAVAILABLE -> new Failure.PlatformUnavailable("the call cannot be recorded now");
            case DEADLINE_EXCEEDED -> new Failure.DeadlineExceeded();
            case LEDGER_FULL -> new Failure.Overloaded(RETRY_AFTER_MS);
            case BACK_END_REFUSED -> new Failure.BackEndFailed("the service did not run the request");
        };
    }

    // Only status 200 proves the outcome: the service does not find a call that is still in transit.
    private PlainAnswer lookUpOutcome(Optional<String> outcomePath, PlainRequest request) throws CallException {
        metrics.counter("ledger.unknown").inc();
        long deadlineMs = Math.max(request.deadlineMs(), clock.nowMs() + ANSWER_MARGIN_MS);
        if (outcomePath.isPresent()) {
            String name = URLEncoder.encode(request.headers().get(KEY_HEADER), StandardCharsets.UTF_8);
            String path = outcomePath.get() + "/" + name;
            try {
                PlainAnswer found =
                        plain.call(copy(request, "GET", path, Map.of(), Content.EMPTY, deadlineMs), new Cancellation());
                if (found.status() == OK) {
                    return found;
                }
            } catch (CallException e) {
                LOG.atInfo()
                        .with(LogFields.SERVICE, request.service().value())
                        .log("outcome look-up at the service failed");
            }
        }
        throw new CallException(new Failure.OutcomeUnknown(), ExecutionStatus.UNKNOWN);
    }

    private void handle(LedgerInput input) {
        for (LedgerEffect effect : core.handle(input, wallClock.getAsLong())) {
            switch (effect) {
                case LedgerEffect.Store request ->
                    store.run(
                            request.request(),
                            Priority.DECISION,
                            reply -> handle(new LedgerInput.Reply(request.tag(), reply)));
                case LedgerEffect.Send send -> send(send);
                case LedgerEffect.Answer answer -> completeCall(answer);
            }
        }
    }

    private void completeCall(LedgerEffect.Answer answer) {
        PendingCall call = pending.get(answer.callId());
        if (call != null) {
            call.outcome.complete(answer.outcome());
            if (!call.sent) {
                pending.remove(answer.callId());
            }
        }
    }

    private void send(LedgerEffect.Send send) {
        PendingCall call = pending.get(send.callId());
        call.sent = true;
        Thread.ofVirtual().name("ledger-call").start(() -> {
            LedgerInput.SendResult result = perform(call.request, send.sendBeforeMs());
            loop.post(() -> {
                // Handling the result completes the call, so its entry is removed only afterwards.
                handle(new LedgerInput.SendFinished(send.callId(), result));
                pending.remove(send.callId());
            });
        });
    }

    private LedgerInput.SendResult perform(PlainRequest request, long sendBeforeMs) {
        long remainingMs = sendBeforeMs - wallClock.getAsLong();
        if (remainingMs <= 0) {
            return new LedgerInput.NotRun();
        }
        long deadlineMs = Math.min(request.deadlineMs(), clock.nowMs() + remainingMs);
        try {
            // A caller that disconnects does not cancel the call: its result is recorded for the caller's retry.
            PlainAnswer answer = plain.call(
                    copy(request, request.method(), request.path(), request.headers(), request.body(), deadlineMs),
                    new Cancellation());
            String type = answer.headers().getOrDefault("content-type", "");
            return new LedgerInput.Ran(StoredAnswer.of(answer.status(), type, answer.body()));
        } catch (CallException e) {
            return e.executionStatus() == ExecutionStatus.NOT_RUN
                    ? new LedgerInput.NotRun()
                    : new LedgerInput.Unknown();
        }
    }

    /** A call that waits for its outcome. */
    private static final class PendingCall {
        private final PlainRequest request;
        private final CompletableFuture<LedgerEffect.Outcome> outcome;
        private boolean sent;

        PendingCall(PlainRequest request, CompletableFuture<LedgerEffect.Outcome> outcome) {
            this.request = request;
            this.outcome = outcome;
        }
    }
}
