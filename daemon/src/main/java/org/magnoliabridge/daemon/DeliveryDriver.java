package org.magnoliabridge.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.ExecutionStatus;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.edge.RolloutService;
import org.magnoliabridge.edge.UsageSink;
import org.magnoliabridge.external.StoreRequest.Priority;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.ids.RunId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.rollout.DeliveredUsage;
import org.magnoliabridge.rollout.DeliveryCore;
import org.magnoliabridge.rollout.DeliveryEffect;
import org.magnoliabridge.rollout.DeliveryInput;
import org.magnoliabridge.rollout.MalformedStepException;
import org.magnoliabridge.rollout.StepJson;
import org.magnoliabridge.rollout.StepRef;
import org.magnoliabridge.rollout.StepSpec;

/** Serves trainers through the delivery core; requests block their traffic threads until they are answered. */
final class DeliveryDriver implements RolloutService {
    private static final long ANSWER_SLACK_MS = 1_000;

    private final DeliveryCore core;
    private final ControlLoop loop;
    private final MonotonicClock clock;
    private final LongSupplier wallClock;
    private final StoreRunner store;
    private final BiConsumer<StepRef, Long> nudge;
    private final UsageSink usage;
    private final AtomicLong lastRequest = new AtomicLong();
    // Used on the control thread only.
    private final Map<Long, CompletableFuture<DeliveryEffect.Answer>> waiting = new HashMap<>();

    /**
     * Creates a driver.
     *
     * @param nudge notifies a step's runner that a trainer at a weight version requests samples; called on the control
     *     thread
     * @param usage counts acknowledged samples, each as one request; called on the control thread
     */
    DeliveryDriver(
            DeliveryCore core,
            ControlLoop loop,
            MonotonicClock clock,
            LongSupplier wallClock,
            StoreRunner store,
            BiConsumer<StepRef, Long> nudge,
            UsageSink usage) {
        this.core = core;
        this.loop = loop;
        this.clock = clock;
        this.wallClock = wallClock;
        this.store = store;
        this.nudge = nudge;
        this.usage = usage;
    }

    /** Handles a clock tick; called on the control thread at least every 100 ms. */
    void tick() {
        handle(new DeliveryInput.Tick());
    }

    @Override
    public long openStep(TeamId team, RunId run, byte[] body, long deadlineMs) throws CallException {
        StepRef step;
        StepSpec spec;
        try {
            spec = StepJson.spec(body);
            step = new StepRef(team, run, StepJson.step(body));
        } catch (MalformedStepException e) {
            throw new CallException(new Failure.MalformedRequest(e.getMessage()), ExecutionStatus.NOT_RUN, e);
        }
        ask(deadlineMs, (id, wallMs) -> new DeliveryInput.Open(id, step, spec, wallMs));
        return step.step();
    }

    @Override
    public Groups fetchGroups(Fetch fetch) throws CallException {
        StepRef step = new StepRef(fetch.team(), fetch.run(), fetch.step());
        DeliveryEffect.Answer answer = ask(
                fetch.deadlineMs(),
                (id, wallMs) -> new DeliveryInput.Fetch(
                        id,
                        step,
                        fetch.cursor(),
                        fetch.trainer().value(),
                        Math.min(wallMs, wallClock.getAsLong() + fetch.waitMs()),
                        wallMs));
        if (!(answer instanceof DeliveryEffect.Groups groups)) {
            throw new IllegalStateException("expected groups in answer to a fetch");
        }
        List<byte[]> lines = new ArrayList<>();
        try {
            for (DeliveryEffect.Line line : groups.lines()) {
                lines.add(StepJson.line(line));
            }
        } catch (MalformedStepException e) {
            throw new CallException(new Failure.IncompleteAnswer(e.getMessage()), ExecutionStatus.RAN, e);
        }
        return new Groups(lines, groups.cursor(), groups.complete());
    }

    @Override
    public void acknowledge(Acknowledgement ack) throws CallException {
        StepRef step = new StepRef(ack.team(), ack.run(), ack.step());
        ask(
                ack.deadlineMs(),
                (id, wallMs) -> new DeliveryInput.Acknowledge(
                        id, step, ack.cursor(), ack.trainer().value(), wallMs));
    }

    /** Creates an input from a request id and a deadline on the wall clock. */
    @FunctionalInterface
    private interface InputFactory {
        DeliveryInput create(long requestId, long wallDeadlineMs);
    }

    private DeliveryEffect.Answer ask(long deadlineMs, InputFactory factory) throws CallException {
        long id = lastRequest.incrementAndGet();
        long remainingMs = Math.max(1, deadlineMs - clock.nowMs());
        DeliveryInput input = factory.create(id, wallClock.getAsLong() + remainingMs);
        CompletableFuture<DeliveryEffect.Answer> answer = new CompletableFuture<>();
        loop.post(() -> {
            waiting.put(id, answer);
            handle(input);
        });
        try {
            return requireSuccess(answer.get(remainingMs + ANSWER_SLACK_MS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            cancel(id);
            Thread.currentThread().interrupt();
            throw new CallException(new Failure.CallerGone(), ExecutionStatus.UNKNOWN, e);
        } catch (ExecutionException | TimeoutException e) {
            cancel(id);
            throw new CallException(new Failure.DeadlineExceeded(), ExecutionStatus.UNKNOWN, e);
        }
    }

    private void cancel(long id) {
        loop.post(() -> {
            waiting.remove(id);
            handle(new DeliveryInput.Cancel(id));
        });
    }

    private static DeliveryEffect.Answer requireSuccess(DeliveryEffect.Answer answer) throws CallException {
        return switch (answer) {
            case DeliveryEffect.Opened opened -> opened;
            case DeliveryEffect.Groups groups -> groups;
            case DeliveryEffect.Acknowledged acknowledged -> acknowledged;
            case DeliveryEffect.Replaced replaced ->
                throw CallException.notRun(new Failure.Conflict("a group up to the cursor was replaced; drop what is"
                        + " not acknowledged and fetch from cursor " + replaced.acknowledged()));
            case DeliveryEffect.SpecConflict conflict ->
                throw CallException.notRun(new Failure.Conflict("the step is open with other content"));
            case DeliveryEffect.TooLarge tooLarge ->
                throw CallException.notRun(new Failure.MalformedRequest("the step is too large for one record"));
            case DeliveryEffect.NotFound notFound -> throw CallException.notRun(new Failure.NotFound("the step"));
            case DeliveryEffect.Unavailable unavailable ->
                throw new CallException(
                        new Failure.PlatformUnavailable("the step cannot be read or written now"),
                        ExecutionStatus.UNKNOWN);
        };
    }

    private void countUsage(DeliveryEffect.Acknowledged answer) {
        DeliveredUsage delivered = answer.delivered();
        if (delivered.samples() > 0) {
            usage.delivered(new UsageSink.Delivery(
                    answer.step().team(),
                    answer.service(),
                    delivered.samples(),
                    delivered.promptTokens(),
                    delivered.completionTokens()));
        }
    }

    private void handle(DeliveryInput input) {
        for (DeliveryEffect effect : core.handle(input, wallClock.getAsLong())) {
            switch (effect) {
                case DeliveryEffect.Store request ->
                    store.run(
                            request.request(),
                            Priority.DECISION,
                            reply -> handle(new DeliveryInput.Reply(request.tag(), reply)));
                case DeliveryEffect.Nudge n -> nudge.accept(n.step(), n.trainerVersion());
                case DeliveryEffect.LateAcknowledgement late -> countUsage(late.outcome());
                case DeliveryEffect.Reply reply -> {
                    if (reply.answer() instanceof DeliveryEffect.Acknowledged acknowledged) {
                        countUsage(acknowledged);
                    }
                    CompletableFuture<DeliveryEffect.Answer> answer = waiting.remove(reply.requestId());
                    if (answer != null) {
                        answer.complete(reply.answer());
                    }
                }
            }
        }
    }
}
