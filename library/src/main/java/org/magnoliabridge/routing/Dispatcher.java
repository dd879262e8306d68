package org.magnoliabridge.routing;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.calls.ExecutionStatus;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.ids.EndpointId;

/** Lets calls on traffic threads wait for slots that the admission core hands out on the control thread. */
public final class Dispatcher implements EndpointSource, AutoCloseable {
    private static final long TICK_MS = 100;

    private final AdmissionCore core;
    private final ControlLoop loop;
    private final MonotonicClock clock;
    private final Consumer<Endpoint> announceLeaving;
    private final AtomicLong lastAdmissionId = new AtomicLong();
    private final Timer queueWaits;
    private final Counter refusals;
    private final ScheduledFuture<?> tickTask;
    // Used on the control thread only.
    private final Map<Long, CompletableFuture<AdmissionEffect>> waiting = new HashMap<>();

    /**
     * Creates a dispatcher.
     *
     * @param spreadLeaving called on the control thread with each endpoint that this node is the first to see leaving
     */
    public Dispatcher(
            AdmissionCore core,
            ControlLoop loop,
            MonotonicClock clock,
            MetricRegistry metrics,
            Consumer<Endpoint> spreadLeaving) {
        this.core = core;
        this.loop = loop;
        this.clock = clock;
        this.announceLeaving = spreadLeaving;
        queueWaits = metrics.timer("routing.queue_wait");
        refusals = metrics.counter("routing.refusals");
        // Expires deadlines and ends back-offs.
        tickTask = loop.every(TICK_MS, () -> apply(new AdmissionInput.Tick()));
    }

    @Override
    public void close() {
        tickTask.cancel(false);
    }

    /** Gives the core an input, from any thread. */
    public void post(AdmissionInput input) {
        loop.post(() -> apply(input));
    }

    @Override
    public Slot acquire(SlotRequest need, Cancellation cancellation) throws CallException {
        long ticket = lastAdmissionId.incrementAndGet();
        CompletableFuture<AdmissionEffect> answer = new CompletableFuture<>();
        long startMs = clock.nowMs();
        loop.post(() -> {
            waiting.put(ticket, answer);
            apply(new AdmissionInput.Arrive(ticket, need));
        });
        Cancellation.Registration registration = cancellation.onCancel(() -> cancel(ticket, cancellation));
        try {
            return toSlot(ticket, need, answer.get(waitMs(need), TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            cancel(ticket, cancellation);
            Thread.currentThread().interrupt();
            throw new CallException(new Failure.CallerGone(), ExecutionStatus.NOT_RUN, e);
        } catch (ExecutionException | TimeoutException e) {
            cancel(ticket, cancellation);
            throw new CallException(new Failure.DeadlineExceeded(), ExecutionStatus.NOT_RUN, e);
        } finally {
            registration.close();
            queueWaits.update(clock.nowMs() - startMs, TimeUnit.MILLISECONDS);
        }
    }

    private long waitMs(SlotRequest need) {
        // The core refuses at the deadline; the margin only covers a control thread that has been closed.
        return Math.max(0, need.deadlineMs() - clock.nowMs()) + 10 * TICK_MS;
    }

    private Slot toSlot(long ticket, SlotRequest need, AdmissionEffect effect) throws CallException {
        return switch (effect) {
            case AdmissionEffect.Dispatch dispatch -> new CoreSlot(ticket, need, dispatch.endpoint());
            case AdmissionEffect.Refuse refuse -> {
                refusals.inc();
                throw CallException.notRun(refuse.failure());
            }
            case AdmissionEffect.AnnounceLeaving spread -> throw new IllegalStateException("not an answer");
        };
    }

    private void cancel(long ticket, Cancellation cancellation) {
        Failure failure = cancellation.reason().map(Cancellation::failure).orElse(new Failure.CallerGone());
        post(new AdmissionInput.Cancel(ticket, failure));
    }

    private void apply(AdmissionInput input) {
        for (AdmissionEffect effect : core.apply(input, clock.nowMs())) {
            switch (effect) {
                case AdmissionEffect.Dispatch dispatch -> complete(dispatch.admissionId(), effect);
                case AdmissionEffect.Refuse refuse -> complete(refuse.admissionId(), effect);
                case AdmissionEffect.AnnounceLeaving spread -> announceLeaving.accept(spread.endpoint());
            }
        }
    }

    private void complete(long ticket, AdmissionEffect effect) {
        CompletableFuture<AdmissionEffect> answer = waiting.remove(ticket);
        if (answer != null) {
            answer.complete(effect);
        }
    }

    private final class CoreSlot implements Slot {
        private final long admissionId;
        private final SlotRequest need;
        private final Endpoint endpoint;
        private final AtomicBoolean released = new AtomicBoolean();

        CoreSlot(long ticket, SlotRequest need, Endpoint endpoint) {
            this.admissionId = ticket;
            this.need = need;
            this.endpoint = endpoint;
        }

        @Override
        public EndpointId endpoint() {
            return endpoint.id();
        }

        @Override
        public InetSocketAddress address() {
            return endpoint.socketAddress();
        }

        @Override
        public void observed(Observation observation) {
            post(new AdmissionInput.Observed(admissionId, observation));
        }

        @Override
        public void release(int usedTokens) {
            if (released.compareAndSet(false, true)) {
                post(new AdmissionInput.Finished(admissionId, usedTokens));
            }
        }

        @Override
        public void close() {
            release(need.tokens());
        }
    }
}
