package org.magnoliabridge.batch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.gateway.BatchTerms;
import org.magnoliabridge.gateway.GatewayRoute;
import org.magnoliabridge.gateway.RouteKind;
import org.magnoliabridge.gateway.RouteTable;
import org.magnoliabridge.gateway.WeightedService;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.GroupId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.ids.RouteId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.routing.Endpoint;

/** Batches, items and engines for tests. */
final class Batches {
    static final RouteId ROUTE = new RouteId("flake-rollout");
    /** Version of the configuration under which batches are accepted. */
    static final long CONFIG_VERSION = 7;

    static final ServiceId SERVICE = new ServiceId("coachgen");
    static final ModelId MODEL = new ModelId("m0");
    static final TeamId TEAM = new TeamId("oak");

    static final ServiceId SCORING_SERVICE = new ServiceId("benchdesk");
    static final int SCORE_ATTEMPTS = 4;

    /** The route of the requests that score texts. */
    static final RouteTable SCORERS = new RouteTable(List.of(new GatewayRoute(
            new RouteId("scores"),
            "desk.example",
            "/score/",
            RouteKind.IDEMPOTENT,
            1_000,
            200,
            2,
            List.of(new WeightedService(SCORING_SERVICE, 1)),
            SCORE_ATTEMPTS,
            false,
            false,
            Optional.empty())));

    static final BatchTarget TARGET = new BatchTarget(SERVICE, 72, 100_000);

    private Batches() {}

    static BatchHead head(String id, int items, long minVersion, boolean singleVersion) {
        return new BatchHead(
                new BatchId(id),
                TEAM,
                ROUTE,
                CONFIG_VERSION,
                "rollouts.example",
                Optional.of(MODEL),
                Optional.of(new WeightVersion(minVersion)),
                1,
                new BatchTerms(7_500, 40_000, singleVersion),
                3,
                0,
                items,
                1,
                false);
    }

    /** Returns the head of a batch of another team. */
    static BatchHead headOf(String id, String team, int items) {
        return head(id, items, new TeamId(team), ROUTE, CONFIG_VERSION);
    }

    /** Returns the head of a batch that was accepted on a route of a certain version of the configuration. */
    static BatchHead headOn(String id, RouteId route, long configVersion, int items) {
        return head(id, items, TEAM, route, configVersion);
    }

    private static BatchHead head(String id, int items, TeamId team, RouteId route, long configVersion) {
        BatchHead head = head(id, items);
        return new BatchHead(
                head.id(),
                team,
                route,
                configVersion,
                head.host(),
                head.model(),
                head.minVersion(),
                head.wantedGroups(),
                head.terms(),
                head.maxAttempts(),
                head.submittedAtMs(),
                head.items(),
                head.parts(),
                head.ended());
    }

    static BatchHead head(String id, int items) {
        return head(id, items, 1, false);
    }

    /** Returns items in groups of two; the same prefix gives the same items, as in a batch that is submitted again. */
    static List<BatchItem> items(String prefix, int count) {
        List<BatchItem> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            items.add(item(prefix + "-" + i, prefix + "-g" + i / 2, 0));
        }
        return items;
    }

    static BatchItem item(String id, String group, long expectedTokens) {
        return new BatchItem(
                new ItemId(id),
                new GroupId(group),
                "/rollouts/" + id,
                Map.of("X-Model", "m0"),
                ("prompt of " + id).getBytes(StandardCharsets.UTF_8),
                540,
                940,
                expectedTokens);
    }

    /** Returns items that need a score, in groups of two. */
    static List<BatchItem> scoredItems(String prefix, int count) {
        return items(prefix, count).stream().map(Batches::scored).toList();
    }

    private static BatchItem scored(BatchItem item) {
        ScoreRequest scorer = new ScoreRequest(
                new RequestId("score-" + item.id()), "desk.example", "/score/" + item.id(), new byte[] {1, 2, 3});
        return new BatchItem(
                item.id(),
                item.group(),
                item.path(),
                item.headers(),
                item.body(),
                item.promptTokens(),
                item.maxTotalTokens(),
                item.expectedTokens(),
                Optional.of(scorer));
    }

    /** Returns an endpoint of the service that scores texts. */
    static EngineState scorer(String id, int slots) {
        Endpoint endpoint = new Endpoint(new EndpointId(id), SCORING_SERVICE, new DataCentre("trent"), "10.0.0.2:8080");
        return new EngineState(endpoint, slots, Map.of(), Set.of());
    }

    /** Ends a batch in a store that serves every request. */
    static void end(StoredBatches stored, BatchId batch) throws MalformedBatchException {
        Ending ending = new Ending(batch, TEAM, 0);
        while (stored.advance(ending)) {
            // Each call performs one request.
        }
    }

    static EngineState engine(String id, int slots, long version) {
        return new EngineState(endpoint(id), slots, Map.of(MODEL, new WeightVersion(version)), Set.of());
    }

    static Endpoint endpoint(String id) {
        return new Endpoint(new EndpointId(id), SERVICE, new DataCentre("trent"), "10.0.0.1:8080");
    }

    static Transcript.Event event(long number, String data, long version) {
        return new Transcript.Event(number, data, new WeightVersion(version));
    }
}
