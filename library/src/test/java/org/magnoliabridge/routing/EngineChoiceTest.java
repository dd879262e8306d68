package org.magnoliabridge.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.calls.LoadReport;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.WeightVersion;

class EngineChoiceTest {
    private static final long SEED = 42;

    private final Random random = new Random(SEED);

    @Test
    void nothingIsChosenWithoutAFreeEngine() {
        assertThat(choose(engines(3, 0, false), ""), is(Optional.empty()));
    }

    /** Guards against slow and costly calls to another data centre while the node's own has room. */
    @Test
    void prefersTheOwnDataCentre() {
        List<EngineChoice.Candidate> all = engines(3, 500, true);
        Endpoint remote =
                new Endpoint(new EndpointId("far"), RoutingFixture.SERVICE, new DataCentre("soar"), "127.0.0.1:99");
        all.add(new EngineChoice.Candidate(remote, 0, true, false, false));
        for (int i = 0; i < 100; i++) {
            assertTrue(!choose(all, "p").orElseThrow().equals(remote));
        }
    }

    /** Guards the hit rate of prefix caches: requests with the same prefix go to one engine while loads are even. */
    @Test
    void sendsAPrefixToOneEngine() {
        List<EngineChoice.Candidate> all = engines(8, 100, true);
        Map<EndpointId, Integer> chosen = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            chosen.merge(choose(all, "p").orElseThrow().id(), 1, Integer::sum);
        }
        assertThat(chosen.size(), is(1));
    }

    /** Guards against a popular prefix overloading its engine. */
    @Test
    void ignoresAffinityAboveTheLoadLimit() {
        Endpoint affinityEngine = choose(engines(8, 100, true), "p").orElseThrow();
        List<EngineChoice.Candidate> all = new ArrayList<>();
        for (EngineChoice.Candidate c : engines(8, 100, true)) {
            all.add(
                    c.endpoint().equals(affinityEngine)
                            ? new EngineChoice.Candidate(affinityEngine, 200, true, false, false)
                            : c);
        }
        int toAffinityEngine = 0;
        for (int i = 0; i < 400; i++) {
            toAffinityEngine += choose(all, "p").orElseThrow().equals(affinityEngine) ? 1 : 0;
        }
        assertThat(toAffinityEngine, is(lessThan(40)));
    }

    @Test
    void prefersTheWeightVersionThatAStreamContinuesWith() {
        List<EngineChoice.Candidate> all = engines(4, 0, true);
        EngineChoice.Candidate preferred = all.get(2);
        all.set(2, new EngineChoice.Candidate(preferred.endpoint(), 1_000, true, false, true));
        assertThat(choose(all, "p").orElseThrow(), is(preferred.endpoint()));
    }

    /** Guards against all nodes choosing an engine that looks idle because its load report is old. */
    @Test
    void theEstimateFromAnOldReportMovesTowardsTheMean() {
        LoadEstimator estimator = new LoadEstimator();
        EndpointId stale = new EndpointId("stale");
        EndpointId fresh = new EndpointId("fresh");
        estimator.report(stale, new LoadReport(0, 0, new WeightVersion(1), Set.of()), 0);
        estimator.report(fresh, new LoadReport(10, 0, new WeightVersion(1), Set.of()), 60_000);
        Map<EndpointId, Double> loads = estimator.estimates(List.of(stale, fresh), 60_000);
        assertThat(Math.abs(loads.get(stale) - loads.get(fresh) / 2), is(lessThan(1.0)));
    }

    private Optional<Endpoint> choose(List<EngineChoice.Candidate> all, String prefix) {
        return EngineChoice.choose(all, new EngineChoice.Request(RoutingFixture.OWN, prefix, 100), random);
    }

    private static List<EngineChoice.Candidate> engines(int count, double load, boolean free) {
        List<EngineChoice.Candidate> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Endpoint endpoint = RoutingFixture.endpoint("e" + i, 1 + i);
            all.add(new EngineChoice.Candidate(endpoint, load, free, false, false));
        }
        return all;
    }
}
