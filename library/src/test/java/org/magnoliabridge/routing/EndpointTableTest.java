package org.magnoliabridge.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.calls.EndpointSource.Observation;
import org.magnoliabridge.ids.TeamId;

class EndpointTableTest {
    private static final TeamId OAK = new TeamId("oak");
    private static final TeamId ELM = new TeamId("elm");

    private final EndpointTable table = new EndpointTable();
    private final Endpoint endpoint = RoutingFixture.endpoint("e1", 1);
    private long nowMs;

    @BeforeEach
    void listEndpoint() {
        list(endpoint, false);
    }

    /** Guards I12: a lagging list that does not yet mark an endpoint as leaving does not make it eligible again. */
    @Test
    void aLeavingIncarnationIsNeverEligibleAgain() {
        assertThat(observe(Observation.DRAINING), contains(endpoint));
        list(endpoint, false);
        assertThat(eligible(), is(empty()));
        nowMs += EndpointTable.RETENTION_MS + 1;
        list(endpoint, false);
        assertThat(eligible(), is(empty()));
    }

    /** Guards I12: an announcement that arrives before the endpoint is listed takes effect too. */
    @Test
    void remembersALeavingAnnouncementOfAnUnlistedEndpoint() {
        Endpoint later = RoutingFixture.endpoint("e2", 2);
        table.apply(new EndpointInput.LeavingAnnounced(later.id(), later.address()), nowMs);
        list(later, false);
        assertThat(eligible(), is(empty()));
    }

    @Test
    void aNewAddressIsANewIncarnation() {
        observe(Observation.DRAINING);
        Endpoint again = RoutingFixture.endpoint("e1", 9);
        list(again, false);
        assertThat(eligible(), contains(again));
    }

    /** Guards against an endpoint staying excluded after the platform restarts it with the same id and address. */
    @Test
    void removesADepartureAfterTheRetentionTime() {
        observe(Observation.DRAINING);
        table.apply(new EndpointInput.Listed(List.of()), nowMs);
        nowMs += EndpointTable.RETENTION_MS + 1;
        table.apply(new EndpointInput.Tick(), nowMs);
        list(endpoint, false);
        assertThat(eligible(), contains(endpoint));
    }

    /** Guards against nodes announcing the same departure repeatedly. */
    @Test
    void returnsADepartureForAnnouncementOnce() {
        assertThat(table.apply(new EndpointInput.StopOrdered(endpoint.id()), nowMs), contains(endpoint));
        assertThat(observe(Observation.DRAINING), is(empty()));
        assertThat(table.apply(new EndpointInput.ReclaimNotice(endpoint.id()), nowMs), is(empty()));
    }

    @Test
    void aFailedEndpointIsRoutableAgainAfterProbation() {
        observe(Observation.UNREACHABLE);
        assertThat(table.state(endpoint.id()).orElseThrow(), is(EndpointState.FAILED));
        tick(EndpointTable.FIRST_BACK_OFF_MS);
        assertThat(table.slots(endpoint.id(), 8), is(1));
        observe(Observation.ANSWERED);
        assertThat(table.slots(endpoint.id(), 8), is(8));
    }

    /** Guards against sending a request to a dead endpoint every second without end. */
    @Test
    void backOffDoublesWhileProbationFails() {
        observe(Observation.UNREACHABLE);
        tick(EndpointTable.FIRST_BACK_OFF_MS);
        observe(Observation.FAULTY_ANSWER);
        tick(EndpointTable.FIRST_BACK_OFF_MS);
        assertThat(table.state(endpoint.id()).orElseThrow(), is(EndpointState.FAILED));
        tick(EndpointTable.FIRST_BACK_OFF_MS);
        assertThat(table.state(endpoint.id()).orElseThrow(), is(EndpointState.PROBATION));
    }

    @Test
    void oneFaultyAnswerIsNotAFailure() {
        observe(Observation.FAULTY_ANSWER);
        observe(Observation.FAULTY_ANSWER);
        assertThat(eligible(), contains(endpoint));
        observe(Observation.FAULTY_ANSWER);
        assertThat(eligible(), is(empty()));
    }

    /** Guards against an endpoint that gets no requests without a line in the log that says why. */
    @Test
    void reportsEachChangeOfStateWithItsCause() {
        observe(Observation.ANSWERED);
        assertThat(table.takeChanges(), is(empty()));
        observe(Observation.UNREACHABLE);
        tick(EndpointTable.FIRST_BACK_OFF_MS);
        observe(Observation.ANSWERED);
        assertThat(
                table.takeChanges(),
                contains(
                        new EndpointChange(
                                endpoint,
                                EndpointState.FAILED,
                                Optional.of(Observation.UNREACHABLE),
                                Optional.empty(),
                                1,
                                EndpointTable.FIRST_BACK_OFF_MS),
                        new EndpointChange(endpoint, EndpointState.PROBATION, Optional.empty(), Optional.empty(), 1, 0),
                        new EndpointChange(
                                endpoint,
                                EndpointState.ROUTABLE,
                                Optional.of(Observation.ANSWERED),
                                Optional.empty(),
                                0,
                                0)));
    }

    /** Guards against a sound endpoint that other teams lose because the requests of one team make it fail. */
    @Test
    void faultsOfOneTeamTakeAnEndpointOutForThatTeamOnly() {
        for (int i = 0; i < 10; i++) {
            observe(Observation.FAULTY_ANSWER, OAK);
        }
        assertThat(eligible(), contains(endpoint));
        assertThat(table.takenOutFor(endpoint.id()), contains(OAK));
        assertThat(table.isTakenOutFor(endpoint.id(), ELM), is(false));
    }

    /** Guards against a faulty endpoint that fails one team's requests and is kept because it answers another's. */
    @Test
    void answersToOtherTeamsDoNotExcuseAnEndpoint() {
        for (int i = 0; i < 3; i++) {
            observe(Observation.FAULTY_ANSWER, OAK);
            observe(Observation.ANSWERED, ELM);
        }
        assertThat(table.takenOutFor(endpoint.id()), contains(OAK));
    }

    /** Guards against a faulty endpoint that each of several teams has to find out for itself. */
    @Test
    void faultsOfSeveralTeamsTakeAnEndpointOutForAll() {
        observe(Observation.FAULTY_ANSWER, OAK);
        observe(Observation.FAULTY_ANSWER, ELM);
        assertThat(eligible(), contains(endpoint));
        observe(Observation.FAULTY_ANSWER, OAK);
        assertThat(eligible(), is(empty()));
    }

    /** Guards against a faulty endpoint that takes the attempts of a second team while their retries wait. */
    @Test
    void failureOfASecondTeamNeedsNoRetryAtAnEndpointThatIsTakenOutForTheFirst() {
        for (int i = 0; i < 3; i++) {
            observe(Observation.FAULTY_ANSWER, OAK);
        }
        observe(Observation.REPORTED_FAILURE, ELM);
        assertThat(eligible(), is(empty()));
    }

    /** Guards against an endpoint that a second team loses for its own failing requests, though it answers others. */
    @Test
    void failureOfASecondTeamIsNoFaultAfterAnAnswer() {
        for (int i = 0; i < 3; i++) {
            observe(Observation.FAULTY_ANSWER, OAK);
        }
        observe(Observation.ANSWERED, ELM);
        observe(Observation.REPORTED_FAILURE, ELM);
        assertThat(eligible(), contains(endpoint));
    }

    /** Guards against an endpoint that is not used fully after a lost connection, because all requests fail. */
    @Test
    void reportedFailureShowsThatAnEndpointCanBeReached() {
        observe(Observation.UNREACHABLE);
        tick(EndpointTable.FIRST_BACK_OFF_MS);
        observe(Observation.REPORTED_FAILURE, OAK);
        assertThat(table.slots(endpoint.id(), 8), is(8));
    }

    /** Guards against an endpoint that a team never gets back, or gets back for good while it is faulty. */
    @Test
    void teamTriesAnEndpointAgainAfterItsBackOff() {
        for (int i = 0; i < 3; i++) {
            observe(Observation.FAULTY_ANSWER, OAK);
        }
        tick(EndpointTable.FIRST_BACK_OFF_MS);
        assertThat(table.takenOutFor(endpoint.id()), is(empty()));
        observe(Observation.FAULTY_ANSWER, OAK);
        tick(EndpointTable.FIRST_BACK_OFF_MS);
        assertThat("the second back-off is longer", table.takenOutFor(endpoint.id()), contains(OAK));
        tick(EndpointTable.FIRST_BACK_OFF_MS);
        observe(Observation.ANSWERED, OAK);
        observe(Observation.FAULTY_ANSWER, OAK);
        observe(Observation.FAULTY_ANSWER, OAK);
        assertThat(table.takenOutFor(endpoint.id()), is(empty()));
    }

    /** Guards against requests to a leaving endpoint whose list has not changed for longer than the retention time. */
    @Test
    void keepsTheDepartureOfAnEndpointThatIsStillListed() {
        observe(Observation.DRAINING);
        tick(EndpointTable.RETENTION_MS + 1);
        tick(EndpointTable.RETENTION_MS + 1);
        list(endpoint, false);
        assertThat(eligible(), is(empty()));
    }

    /** Guards against a search of all endpoints each time that a service's endpoints are needed. */
    @Test
    void eligibleEndpointsAreListedOnceUntilAStateChanges() {
        List<Endpoint> before = eligible();
        table.apply(new EndpointInput.Tick(), nowMs);
        assertThat(eligible(), is(sameInstance(before)));
        observe(Observation.UNREACHABLE);
        assertThat(eligible(), is(empty()));
        table.apply(new EndpointInput.Tick(), nowMs);
        assertThat(eligible(), is(empty()));
        nowMs += EndpointTable.FIRST_BACK_OFF_MS;
        table.apply(new EndpointInput.Tick(), nowMs);
        assertThat(eligible(), contains(endpoint));
    }

    private void list(Endpoint item, boolean leaving) {
        table.apply(new EndpointInput.Listed(List.of(new EndpointInput.ListedEndpoint(item, leaving))), nowMs);
    }

    private List<Endpoint> observe(Observation observation) {
        return table.apply(new EndpointInput.Observed(endpoint.id(), endpoint.address(), observation), nowMs);
    }

    private void observe(Observation observation, TeamId team) {
        table.apply(
                new EndpointInput.Observed(endpoint.id(), endpoint.address(), observation, Optional.of(team)), nowMs);
    }

    private void tick(long ms) {
        nowMs += ms;
        table.apply(new EndpointInput.Tick(), nowMs);
    }

    private List<Endpoint> eligible() {
        return table.eligibleEndpoints(RoutingFixture.SERVICE);
    }
}
