package org.magnoliabridge.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.routing.AdmissionCore;
import org.magnoliabridge.routing.AdmissionEffect;
import org.magnoliabridge.routing.AdmissionInput;
import org.magnoliabridge.routing.Endpoint;
import org.magnoliabridge.routing.EndpointInput;
import org.magnoliabridge.routing.RoutingSettings;
import org.magnoliabridge.routing.TeamPolicy;

/** An admission core with busy endpoints and requests of one team that wait for a slot. */
final class AdmissionNode {
    private static final int TOKENS = 100;
    private static final int SLOTS = 4;
    private static final int MAX_QUEUED = 10_000;
    private static final long NOW_MS = 1_000_000;

    private final AdmissionCore core;
    private final Queue<Long> running = new ArrayDeque<>();
    private long lastAdmissionId;

    AdmissionNode(int endpoints, int waiting) {
        DataCentre own = new DataCentre("dc");
        core = new AdmissionCore(new RoutingSettings(own, MAX_QUEUED), new Random(1));
        apply(new AdmissionInput.Policies(Map.of(new TeamId("team"), new TeamPolicy(1, 1e12)), SLOTS));
        List<EndpointInput.ListedEndpoint> listed = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            Endpoint endpoint =
                    new Endpoint(new EndpointId("engine-" + i), new ServiceId("service"), own, "127.0.0.1:" + (1 + i));
            listed.add(new EndpointInput.ListedEndpoint(endpoint, false));
        }
        apply(new AdmissionInput.Endpoints(new EndpointInput.Listed(listed)));
        for (int i = 0; i < endpoints * SLOTS + waiting; i++) {
            arrive();
        }
        if (queued() != waiting) {
            throw new IllegalStateException(queued() + " requests wait instead of " + waiting);
        }
    }

    /** Lets one request arrive and one finish, so that the number that wait stays the same. */
    void exchange() {
        arrive();
        apply(new AdmissionInput.Finished(running.remove(), TOKENS));
    }

    private int queued() {
        return core.queued().values().stream().mapToInt(Integer::intValue).sum();
    }

    private void arrive() {
        apply(new AdmissionInput.Arrive(
                ++lastAdmissionId,
                new EndpointSource.SlotRequest(
                        new ServiceId("service"),
                        new TeamId("team"),
                        EndpointSource.Priority.TRAINING,
                        TOKENS,
                        0,
                        "",
                        NOW_MS + 60_000,
                        Optional.empty(),
                        Set.of())));
    }

    private void apply(AdmissionInput input) {
        for (AdmissionEffect effect : core.apply(input, NOW_MS)) {
            if (effect instanceof AdmissionEffect.Dispatch dispatch) {
                running.add(dispatch.admissionId());
            }
        }
    }

    /** Returns the processor time of one request in microseconds. */
    static double micros(int endpoints, int waiting) {
        int requests = 200;
        AdmissionNode node = new AdmissionNode(endpoints, waiting);
        double nanos = CpuMeter.medianNanos(() -> {
            for (int i = 0; i < requests; i++) {
                node.exchange();
            }
        });
        return nanos / 1_000 / requests;
    }
}
