package org.magnoliabridge.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.magnoliabridge.calls.EngineAdapter;
import org.magnoliabridge.calls.EngineFailure;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.ids.ServiceId;

/**
 * Polls the load of a few random engines each period.
 *
 * <p>Not all engines are polled: with 340 nodes each engine would answer 340 polls a second, and a node would exceed
 * its limit of 4 KB/s for control traffic. The estimate for an engine that is not polled moves towards the mean.
 */
public final class LoadPoller implements AutoCloseable {
    private static final long PERIOD_MS = 1_000;
    private static final int POLLS_PER_PERIOD = 4;

    private final AdmissionCore core;
    private final Dispatcher dispatcher;
    private final EngineAdapter engines;
    private final RandomGenerator random;
    private final Executor background;
    private final Supplier<List<ServiceId>> services;
    private final ScheduledFuture<?> pollTask;

    /**
     * Creates a poller and starts polling.
     *
     * @param services returns the model services of the accepted bundle; called on the control thread
     * @param background runs the blocking polls
     */
    public LoadPoller(
            ControlLoop loop,
            Supplier<List<ServiceId>> services,
            AdmissionCore core,
            Dispatcher dispatcher,
            EngineAdapter engines,
            RandomGenerator random,
            Executor background) {
        this.core = core;
        this.dispatcher = dispatcher;
        this.engines = engines;
        this.random = random;
        this.background = background;
        this.services = services;
        pollTask = loop.scheduleWithFixedDelay(PERIOD_MS, this::pollSome);
    }

    @Override
    public void close() {
        pollTask.cancel(false);
    }

    private void pollSome() {
        List<Endpoint> all = new ArrayList<>();
        services.get().forEach(s -> all.addAll(core.eligibleEndpoints(s)));
        for (int i = 0; i < POLLS_PER_PERIOD && !all.isEmpty(); i++) {
            Endpoint endpoint = all.remove(random.nextInt(all.size()));
            background.execute(() -> poll(endpoint));
        }
    }

    private void poll(Endpoint endpoint) {
        try {
            dispatcher.post(new AdmissionInput.Reported(endpoint.id(), engines.fetchLoad(endpoint.socketAddress())));
        } catch (EngineFailure e) {
            // Without a new report the estimate moves towards the mean; only calls decide whether an engine has failed.
            dispatcher.post(new AdmissionInput.Tick());
        }
    }
}
