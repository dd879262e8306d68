package org.magnoliabridge.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.magnoliabridge.calls.EndpointSource;
import org.magnoliabridge.calls.EndpointSource.Priority;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.warmup.WarmUpPacer;

/** An admission core with engines of one service, on virtual time. Collects the effects of all inputs. */
final class RoutingFixture {
    static final ServiceId SERVICE = new ServiceId("coachgen");
    static final DataCentre OWN = new DataCentre("trent");

    final AdmissionCore core;
    final List<AdmissionEffect> effects = new ArrayList<>();
    long nowMs;
    private long lastAdmissionId;

    RoutingFixture(int engines, int slots, int maxQueued, Map<TeamId, TeamPolicy> teams) {
        this(engines, slots, maxQueued, teams, WarmUpPacer.unlimited());
    }

    RoutingFixture(int engines, int slots, int maxQueued, Map<TeamId, TeamPolicy> teams, WarmUpPacer pacer) {
        core = new AdmissionCore(new RoutingSettings(OWN, maxQueued), new Random(1), pacer);
        apply(new AdmissionInput.Policies(teams, slots));
        List<EndpointInput.ListedEndpoint> listed = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            listed.add(new EndpointInput.ListedEndpoint(endpoint("e" + i, 1 + i), false));
        }
        apply(new AdmissionInput.Endpoints(new EndpointInput.Listed(listed)));
    }

    static Endpoint endpoint(String id, int port) {
        return new Endpoint(new EndpointId(id), SERVICE, OWN, "127.0.0.1:" + port);
    }

    static EndpointSource.SlotRequest slotRequest(
            String team, Priority priority, int tokens, long deadlineMs, Set<EndpointId> excluded) {
        return new EndpointSource.SlotRequest(
                SERVICE, new TeamId(team), priority, tokens, 0, "", deadlineMs, Optional.empty(), excluded);
    }

    List<AdmissionEffect> apply(AdmissionInput input) {
        List<AdmissionEffect> latest = core.apply(input, nowMs);
        effects.addAll(latest);
        return latest;
    }

    long arrive(String team, Priority priority, int tokens) {
        return arrive(slotRequest(team, priority, tokens, nowMs + 60_000, Set.of()));
    }

    long arrive(EndpointSource.SlotRequest request) {
        long admissionId = ++lastAdmissionId;
        apply(new AdmissionInput.Arrive(admissionId, request));
        return admissionId;
    }

    List<Long> dispatched() {
        return effects.stream()
                .filter(AdmissionEffect.Dispatch.class::isInstance)
                .map(e -> ((AdmissionEffect.Dispatch) e).admissionId())
                .toList();
    }

    List<AdmissionEffect.Refuse> refused() {
        return effects.stream()
                .filter(AdmissionEffect.Refuse.class::isInstance)
                .map(AdmissionEffect.Refuse.class::cast)
                .toList();
    }
}
