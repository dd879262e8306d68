package org.magnoliabridge.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliabridge.calls.EndpointSource.Observation;
import org.magnoliabridge.calls.EndpointSource.Priority;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.TeamId;

class AdmissionCoreTest {
    private static final Map<TeamId, TeamPolicy> NO_TEAMS = Map.of();

    @Test
    void interactiveRequestsAreDispatchedFirst() {
        RoutingFixture f = new RoutingFixture(1, 1, 10, NO_TEAMS);
        long running = f.arrive("a", Priority.TRAINING, 10);
        long training = f.arrive("a", Priority.TRAINING, 10);
        long interactive = f.arrive("b", Priority.INTERACTIVE, 10);
        f.apply(new AdmissionInput.Finished(running, 10));
        f.apply(new AdmissionInput.Finished(interactive, 10));
        assertThat(f.dispatched(), contains(running, interactive, training));
    }

    /** Guards against the backlog of a large team delaying the request of a small team. */
    @Test
    void aSmallTeamOvertakesTheBacklogOfALargeTeam() {
        RoutingFixture f = new RoutingFixture(1, 1, 100, NO_TEAMS);
        long first = f.arrive("large", Priority.TRAINING, 100);
        for (int i = 0; i < 20; i++) {
            f.arrive("large", Priority.TRAINING, 100);
        }
        long small = f.arrive("small", Priority.TRAINING, 100);
        f.apply(new AdmissionInput.Finished(first, 100));
        assertThat(f.dispatched(), contains(first, small));
    }

    @Test
    void tokensAreSharedByWeight() {
        Map<TeamId, TeamPolicy> teams =
                Map.of(new TeamId("a"), new TeamPolicy(3, 1e9), new TeamId("b"), new TeamPolicy(1, 1e9));
        RoutingFixture f = new RoutingFixture(1, 1, 200, teams);
        Map<Long, String> team = new HashMap<>();
        for (int i = 0; i < 80; i++) {
            team.put(f.arrive("a", Priority.TRAINING, 10), "a");
            team.put(f.arrive("b", Priority.TRAINING, 10), "b");
        }
        for (int i = 0; i < 40; i++) {
            f.apply(new AdmissionInput.Finished(f.dispatched().getLast(), 10));
        }
        long served =
                f.dispatched().stream().filter(t -> team.get(t).equals("a")).count();
        assertThat(Math.abs(served - 30), is(lessThanOrEqualTo(2L)));
    }

    /** Guards against faults of one team that send other teams elsewhere, or leave a team without any endpoint. */
    @Test
    void teamAvoidsAnEndpointThatIsTakenOutForItIfThereIsAnother() {
        RoutingFixture f = new RoutingFixture(2, 1, 10, NO_TEAMS);
        takeOutFor(f, "a", "e0", 1);
        long waiting = f.arrive("a", Priority.TRAINING, 10);
        long second = f.arrive("a", Priority.TRAINING, 10);
        long other = f.arrive("b", Priority.TRAINING, 10);
        assertThat("the second request of the team waits", f.dispatched(), contains(waiting, other));
        f.apply(new AdmissionInput.Finished(waiting, 10));
        assertThat(f.dispatched(), contains(waiting, other, second));
        f.apply(new AdmissionInput.Finished(second, 10));
        f.apply(new AdmissionInput.Finished(other, 10));
        takeOutFor(f, "a", "e1", 2);
        long last = f.arrive("a", Priority.TRAINING, 10);
        assertThat("no endpoint is left that is not taken out", f.dispatched().getLast(), is(last));
    }

    private static void takeOutFor(RoutingFixture f, String team, String endpoint, int port) {
        for (int i = 0; i < 3; i++) {
            f.apply(new AdmissionInput.Endpoints(new EndpointInput.Observed(
                    new EndpointId(endpoint),
                    "127.0.0.1:" + port,
                    Observation.FAULTY_ANSWER,
                    Optional.of(new TeamId(team)))));
        }
    }

    /** Guards I10: a request whose deadline passes in the queue is refused and never dispatched afterwards. */
    @Test
    void refusesExpiredRequests() {
        RoutingFixture f = new RoutingFixture(1, 1, 10, NO_TEAMS);
        long running = f.arrive("a", Priority.TRAINING, 10);
        long late = f.arrive(RoutingFixture.slotRequest("a", Priority.TRAINING, 10, 5, Set.of()));
        f.nowMs = 5;
        f.apply(new AdmissionInput.Tick());
        f.apply(new AdmissionInput.Finished(running, 10));
        assertThat(f.refused(), contains(new AdmissionEffect.Refuse(late, new Failure.DeadlineExceeded())));
        assertThat(f.dispatched(), contains(running));
    }

    /** Guards against a full queue refusing a late request instead of one of the team that fills the queue. */
    @Test
    void aFullQueueEvictsFromTheLargestBacklog() {
        RoutingFixture f = new RoutingFixture(1, 1, 3, NO_TEAMS);
        for (int i = 0; i < 4; i++) {
            f.arrive("large", Priority.TRAINING, 10);
        }
        long small = f.arrive("small", Priority.TRAINING, 10);
        assertThat(f.refused().stream().map(AdmissionEffect.Refuse::admissionId).toList(), contains(4L));
        long more = f.arrive("large", Priority.TRAINING, 10);
        assertThat(f.refused().getLast().admissionId(), is(more));
        f.apply(new AdmissionInput.Finished(1, 10));
        f.apply(new AdmissionInput.Finished(f.dispatched().getLast(), 10));
        assertTrue(f.dispatched().contains(small));
    }

    /** Guards against queueing a request that would miss its deadline while it waits. */
    @Test
    void refusesAtOnceWithRetryAfterWhenTheWaitWouldExceedTheDeadline() {
        RoutingFixture f = new RoutingFixture(1, 1, 100, NO_TEAMS);
        for (int i = 0; i < 12; i++) {
            f.arrive("a", Priority.TRAINING, 1_000);
        }
        for (int i = 0; i < 7; i++) {
            f.nowMs += 1_000;
            f.apply(new AdmissionInput.Finished(f.dispatched().getLast(), 1_000));
        }
        f.arrive(RoutingFixture.slotRequest("a", Priority.TRAINING, 1_000, f.nowMs + 1_000, Set.of()));
        assertThat(f.refused().getLast().failure(), is(instanceOf(Failure.Overloaded.class)));
        assertTrue(((Failure.Overloaded) f.refused().getLast().failure()).retryAfterMs() > 1_000);
    }

    @Test
    void limitsATeamToItsShareOfItsRate() {
        TeamId team = new TeamId("a");
        RoutingFixture f = new RoutingFixture(1, 100, 100, Map.of(team, new TeamPolicy(1, 100)));
        f.apply(new AdmissionInput.Shares(Map.of(team, 0.5), 0.5));
        f.arrive("a", Priority.TRAINING, 600);
        f.arrive("a", Priority.TRAINING, 1);
        assertThat(f.refused().getLast().failure(), is(new Failure.RateLimited(2_001)));
        f.nowMs = 2_001;
        f.arrive("a", Priority.TRAINING, 1);
        assertThat(f.dispatched(), hasSize(2));
    }

    /** Guards the split of a team's rate limit: refused requests count as demand too, and old demand decays. */
    @Test
    void measuresTheDemandOfATeam() {
        TeamId team = new TeamId("a");
        RoutingFixture f = new RoutingFixture(1, 100, 100, Map.of(team, new TeamPolicy(1, 10)));
        for (int i = 0; i < 600; i++) {
            f.nowMs += 100;
            f.arrive("a", Priority.TRAINING, 5);
        }
        assertThat(f.core.demand(f.nowMs).get(team), is(closeTo(50, 1)));
        assertThat(f.core.demand(f.nowMs + 60_000).get(team), is(closeTo(0, 1)));
    }

    @ParameterizedTest
    @CsvSource({"30,90,true,0.25", "0,90,true,0.0625", "0,0,true,0.25", "90,0,false,0.25", "90,0,true,0.8125"})
    void splitsARateLimitByDemand(double own, double others, boolean reachable, double expected) {
        double share = DemandShare.of(own, List.of(others, 0.0, 0.0), 4, reachable);
        assertThat(share, is(closeTo(expected, 1e-9)));
    }

    /**
     * Guards against a resumed call returning to the engine on which it has just failed, and against that call blocking
     * the requests queued behind it.
     */
    @Test
    void waitsForAnotherEndpointThanTheExcludedOne() {
        RoutingFixture f = new RoutingFixture(2, 1, 10, NO_TEAMS);
        Set<EndpointId> excluded = Set.of(new EndpointId("e0"));
        long running = f.arrive(RoutingFixture.slotRequest("a", Priority.TRAINING, 1, 100, excluded));
        long waiting = f.arrive(RoutingFixture.slotRequest("a", Priority.TRAINING, 1, 100, excluded));
        long behind = f.arrive("a", Priority.TRAINING, 1);
        assertThat(f.dispatched(), contains(running, behind));
        f.apply(new AdmissionInput.Finished(running, 1));
        assertThat(f.dispatched(), contains(running, behind, waiting));
    }

    /** Guards against a call failing for good after one connection failure if its service has only one endpoint. */
    @Test
    void usesAnExcludedEndpointIfThereIsNoOther() {
        RoutingFixture f = new RoutingFixture(1, 1, 10, NO_TEAMS);
        f.arrive(RoutingFixture.slotRequest("a", Priority.TRAINING, 1, 100, Set.of(new EndpointId("e0"))));
        assertThat(f.dispatched(), hasSize(1));
    }

    /**
     * Guards three invariants under random traffic: each request gets one outcome, no engine exceeds its slots, and no
     * request waits while a slot is free.
     */
    @Property(tries = 100)
    void everyRequestGetsOneOutcomeAndNoSlotIdles(@ForAll long seed) {
        Random random = new Random(seed);
        RoutingFixture f = new RoutingFixture(3, 2, 5, NO_TEAMS);
        Map<Long, EndpointId> running = new HashMap<>();
        Set<Long> answered = new HashSet<>();
        int checked = 0;
        for (int i = 0; i < 200; i++) {
            f.nowMs += random.nextInt(20);
            step(f, random, running);
            for (AdmissionEffect effect : f.effects.subList(checked, f.effects.size())) {
                switch (effect) {
                    case AdmissionEffect.Dispatch d -> {
                        assertTrue(answered.add(d.admissionId()));
                        running.put(d.admissionId(), d.endpoint().id());
                    }
                    case AdmissionEffect.Refuse r -> assertTrue(answered.add(r.admissionId()));
                    case AdmissionEffect.AnnounceLeaving s -> assertTrue(false, "no endpoint leaves in this test");
                    case AdmissionEffect.LogChange log -> assertTrue(false, "no endpoint changes in this test");
                }
            }
            checked = f.effects.size();
            int waiting = f.core.queued().values().stream().mapToInt(n -> n).sum();
            assertThat(running.size(), is(lessThanOrEqualTo(6)));
            assertTrue(waiting == 0 || running.size() == 6, "a request waits while a slot is free");
            assertThat(f.core.inFlight(), is(running.size()));
        }
    }

    private static void step(RoutingFixture f, Random random, Map<Long, EndpointId> running) {
        List<Long> admissionIds = new ArrayList<>(running.keySet());
        if (random.nextBoolean() || admissionIds.isEmpty()) {
            Priority priority = random.nextBoolean() ? Priority.INTERACTIVE : Priority.TRAINING;
            long deadlineMs = f.nowMs + random.nextInt(200);
            String team = "t" + random.nextInt(3);
            f.arrive(RoutingFixture.slotRequest(team, priority, 1 + random.nextInt(50), deadlineMs + 1, Set.of()));
        } else {
            long admissionId = admissionIds.get(random.nextInt(admissionIds.size()));
            running.remove(admissionId);
            f.apply(
                    random.nextBoolean()
                            ? new AdmissionInput.Finished(admissionId, 10)
                            : new AdmissionInput.Cancel(admissionId, new Failure.CallerGone()));
        }
    }
}
