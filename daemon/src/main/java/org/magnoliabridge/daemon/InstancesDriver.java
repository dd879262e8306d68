package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.external.InstanceList;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.membership.MembershipInput;
import org.magnoliabridge.routing.AdmissionInput;
import org.magnoliabridge.routing.Dispatcher;
import org.magnoliabridge.routing.Endpoint;
import org.magnoliabridge.routing.EndpointInput;
import org.magnoliabridge.telemetry.LogFields;

/** Polls the platform's instance list and passes it to routing and membership. */
final class InstancesDriver implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long MIN_PERIOD_MS = 1_000;
    // Each member reads less often the more members there are, so that all together read at most 10 times a second; a
    // member that sees a leaving endpoint announces it to the others at once.
    private static final long PERIOD_PER_MEMBER_MS = 100;

    private final InstanceList instances;
    private final Dispatcher dispatcher;
    private final MembershipDriver membership;
    private final ControlLoop loop;
    private final MetricRegistry metrics;
    private final Thread thread;
    private volatile boolean closed;

    InstancesDriver(
            InstanceList instances,
            Dispatcher dispatcher,
            MembershipDriver membership,
            ControlLoop loop,
            MetricRegistry metrics) {
        this.instances = instances;
        this.dispatcher = dispatcher;
        this.membership = membership;
        this.loop = loop;
        this.metrics = metrics;
        this.thread = Thread.ofVirtual().name("instances").start(this::run);
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        while (!closed) {
            try {
                publish(instances.list());
            } catch (PlatformException e) {
                // The last known list stays in use; failed calls reveal which endpoints are gone.
                metrics.counter("instances.failures").inc();
            }
            try {
                Thread.sleep(Math.max(
                        MIN_PERIOD_MS,
                        PERIOD_PER_MEMBER_MS * membership.members().size()));
            } catch (InterruptedException e) {
                closed = true;
            }
        }
    }

    private void publish(List<InstanceList.Instance> listed) {
        List<EndpointInput.ListedEndpoint> endpoints = new ArrayList<>();
        Map<NodeId, String> nodes = new TreeMap<>();
        for (InstanceList.Instance instance : listed) {
            try {
                switch (instance.role()) {
                    case NODE -> nodes.put(NodeId.parse(instance.id()), instance.address());
                    case ENDPOINT -> endpoints.add(endpoint(instance));
                    default -> throw new IllegalStateException("unknown role " + instance.role());
                }
            } catch (InvalidIdException | IllegalArgumentException e) {
                metrics.counter("instances.malformed").inc();
                LOG.atWarning()
                        .with(LogFields.FAILURE, e.getClass().getSimpleName())
                        .log("ignoring a malformed instance in the platform's list");
            }
        }
        dispatcher.post(new AdmissionInput.Endpoints(new EndpointInput.Listed(endpoints)));
        loop.post(() -> membership.handle(new MembershipInput.Instances(nodes)));
    }

    private static EndpointInput.ListedEndpoint endpoint(InstanceList.Instance instance) throws InvalidIdException {
        Endpoint endpoint = new Endpoint(
                EndpointId.parse(instance.id()),
                instance.service().orElseThrow(IllegalArgumentException::new),
                instance.dc(),
                instance.address());
        return new EndpointInput.ListedEndpoint(endpoint, instance.leaving());
    }
}
