package org.magnoliabridge.routing;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
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
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.telemetry.LogFields;

/**
 * Blocks calls on their own threads until the admission core, which runs on the control thread, gives them a slot or
 * refuses them.
 */
public final class Dispatcher implements EndpointSource, AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long TICK_MS = 100;

    private final AdmissionCore core;
    private final ControlLoop loop;
    private final MonotonicClock clock;
    private final Consumer<Endpoint> announceLeaving;
    private final AtomicLong lastAdmissionId = new AtomicLong();
    private final Timer queueWaits;
    private final Counter refusals;
    private final Map<EndpointState, Counter> changes = new EnumMap<>(EndpointState.class);
    private final ScheduledFuture<?> tickTask;
    // Confined to the control thread.
    private final Map<Long, CompletableFuture<AdmissionEffect>> pending = new HashMap<>();

    /**
     * Creates a dispatcher.
     *
     * @param announceLeaving called on the control thread with each endpoint that this node observes to be leaving
     *     before another member has announced it
     */
    public Dispatcher(
            AdmissionCore core,
            ControlLoop loop,
            MonotonicClock clock,
            MetricRegistry metrics,
            Consumer<Endpoint> announceLeaving) {
        this.core = core;
        this.loop = loop;
        this.clock = clock;
        this.announceLeaving = announceLeaving;
        queueWaits = metrics.timer("routing.queue_wait");
        refusals = metrics.counter("routing.refusals");
        for (EndpointState state : EndpointState.values()) {
            changes.put(state, metrics.counter("routing.endpoints." + state));
        }
        // Refuses requests past their deadline and ends back-offs.
        tickTask = loop.scheduleWithFixedDelay(TICK_MS, () -> apply(new AdmissionInput.Tick()));
    }

    @Override
    public void close() {
        tickTask.cancel(false);
    }

    /** Passes an input to the core on the control thread; may be called from any thread. */
    public void post(AdmissionInput input) {
        loop.post(() -> apply(input));
    }

    /** Reports what a call for no team has observed of an endpoint; may be called from any thread. */
    public void observed(EndpointId endpoint, String address, Observation observation) {
        post(new AdmissionInput.Endpoints(new EndpointInput.Observed(endpoint, address, observation)));
    }

    /** Reports what a call for a team has observed of an endpoint; may be called from any thread. */
    public void observed(Endpoint endpoint, Observation observation, TeamId team) {
        post(new AdmissionInput.Endpoints(
                new EndpointInput.Observed(endpoint.id(), endpoint.address(), observation, Optional.of(team))));
    }

    @Override
    public Slot acquire(SlotRequest request, Cancellation cancellation) throws CallException {
        long admissionId = lastAdmissionId.incrementAndGet();
        CompletableFuture<AdmissionEffect> outcome = new CompletableFuture<>();
        long startMs = clock.nowMs();
        loop.post(() -> {
            pending.put(admissionId, outcome);
            apply(new AdmissionInput.Arrive(admissionId, request));
        });
        Cancellation.Registration registration = cancellation.onCancel(() -> cancel(admissionId, cancellation));
        try {
            return toSlot(admissionId, request, outcome.get(waitMs(request), TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            cancel(admissionId, cancellation);
            Thread.currentThread().interrupt();
            throw new CallException(new Failure.CallerGone(), ExecutionStatus.NOT_RUN, e);
        } catch (ExecutionException | TimeoutException e) {
            cancel(admissionId, cancellation);
            throw new CallException(new Failure.DeadlineExceeded(), ExecutionStatus.NOT_RUN, e);
        } finally {
            registration.close();
            queueWaits.update(clock.nowMs() - startMs, TimeUnit.MILLISECONDS);
        }
    }

    private long waitMs(SlotRequest request) {
        // The core refuses the request at its deadline; the margin only matters if the control loop has been closed.
        return Math.max(0, request.deadlineMs() - clock.nowMs()) + 10 * TICK_MS;
    }

    private Slot toSlot(long admissionId, SlotRequest request, AdmissionEffect effect) throws CallException {
        return switch (effect) {
            case AdmissionEffect.Dispatch dispatch -> new CoreSlot(admissionId, request, dispatch.endpoint());
            case AdmissionEffect.Refuse refuse -> {
                refusals.inc();
                throw CallException.notRun(refuse.failure());
            }
            case AdmissionEffect.AnnounceLeaving announce ->
                throw new IllegalStateException("AnnounceLeaving is not the outcome of a request");
            case AdmissionEffect.LogChange log ->
                throw new IllegalStateException("LogChange is not the outcome of a request");
        };
    }

    private void cancel(long admissionId, Cancellation cancellation) {
        Failure failure = cancellation.reason().map(Cancellation::failure).orElse(new Failure.CallerGone());
        post(new AdmissionInput.Cancel(admissionId, failure));
    }

    private void apply(AdmissionInput input) {
        for (AdmissionEffect effect : core.apply(input, clock.nowMs())) {
            switch (effect) {
                case AdmissionEffect.Dispatch dispatch -> complete(dispatch.admissionId(), effect);
                case AdmissionEffect.Refuse refuse -> complete(refuse.admissionId(), effect);
                case AdmissionEffect.AnnounceLeaving announce -> announceLeaving.accept(announce.endpoint());
                case AdmissionEffect.LogChange log -> log(log.change());
            }
        }
    }

    private void log(EndpointChange change) {
        changes.get(change.state()).inc();
        LOG.atInfo()
                .with(LogFields.ENDPOINT, change.endpoint().id().value())
                .with(LogFields.SERVICE, change.endpoint().service().value())
                .log(
                        "endpoint is %s for %s after %s; %d faults in a row, back-off %d ms",
                        change.state(),
                        change.team().map(team -> "team " + team.value()).orElse("all teams"),
                        change.observation().map(Observation::name).orElse("its back-off"),
                        change.faults(),
                        change.backOffMs());
    }

    private void complete(long admissionId, AdmissionEffect effect) {
        CompletableFuture<AdmissionEffect> outcome = pending.remove(admissionId);
        if (outcome != null) {
            outcome.complete(effect);
        }
    }

    private final class CoreSlot implements Slot {
        private final long admissionId;
        private final SlotRequest request;
        private final Endpoint endpoint;
        private final AtomicBoolean released = new AtomicBoolean();

        CoreSlot(long admissionId, SlotRequest request, Endpoint endpoint) {
            this.admissionId = admissionId;
            this.request = request;
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
            Dispatcher.this.observed(endpoint, observation, request.team());
        }

        @Override
        public void release(int usedTokens) {
            if (released.compareAndSet(false, true)) {
                post(new AdmissionInput.Finished(admissionId, usedTokens));
            }
        }

        @Override
        public void close() {
            release(request.tokens());
        }
    }
}
