package org.magnoliabridge.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliabridge.ids.EndpointId;

class FaultAttributionTest {
    private final FaultAttribution faults = new FaultAttribution();
    private final List<String> reports = new ArrayList<>();

    /** Guards against sound endpoints that are charged with a request which fails at each of them. */
    @ParameterizedTest
    @EnumSource(names = {"FAILED", "REFUSED", "OVERSIZED", "TIMED_OUT", "STOPPED"})
    void requestThatFailsEverywhereChargesNoEndpoint(AttemptEnd end) {
        ended("one", end);
        ended("two", end);
        ended("one", end);
        assertThat(reports, not(hasItem("one FAULTY_ANSWER")));
        assertThat(reports, not(hasItem("two FAULTY_ANSWER")));
    }

    /** Guards against a faulty endpoint that is not charged although another one answers what it fails. */
    @ParameterizedTest
    @EnumSource(names = {"FAILED", "REFUSED", "OVERSIZED", "TIMED_OUT"})
    void endpointIsChargedIfAnotherAnswersTheSameRequest(AttemptEnd end) {
        ended("one", end);
        reports.clear();
        ended("two", AttemptEnd.ANSWERED);
        assertThat(reports, contains("one FAULTY_ANSWER", "two ANSWERED"));
    }

    /** Guards against a charge for each retry: one request shows at most one fault of an endpoint. */
    @Test
    void endpointIsChargedOnceForARequest() {
        ended("one", AttemptEnd.FAILED);
        ended("one", AttemptEnd.FAILED);
        reports.clear();
        ended("two", AttemptEnd.ANSWERED);
        ended("two", AttemptEnd.ANSWERED);
        assertThat(reports, contains("one FAULTY_ANSWER", "two ANSWERED", "two ANSWERED"));
    }

    /** Guards against an endpoint that is charged for a failure which it has itself made good. */
    @Test
    void endpointThatAnswersInTheEndIsNotCharged() {
        ended("one", AttemptEnd.FAILED);
        reports.clear();
        ended("one", AttemptEnd.ANSWERED);
        ended("two", AttemptEnd.ANSWERED);
        assertThat(reports, contains("one ANSWERED", "two ANSWERED"));
    }

    /** Guards against a fault that waits for a retry although no request can cause it. */
    @Test
    void lostConnectionIsChargedAtOnce() {
        ended("one", AttemptEnd.BROKEN);
        ended("two", AttemptEnd.UNREACHABLE);
        ended("three", AttemptEnd.LEAVING);
        assertThat(reports, contains("one FAULTY_ANSWER", "two UNREACHABLE", "three DRAINING"));
    }

    /** Guards against a charge for an attempt that this node has ended. */
    @Test
    void stoppedAttemptShowsNothing() {
        ended("one", AttemptEnd.STOPPED);
        assertThat(reports, is(empty()));
    }

    /** Guards against an order of failures after which a request charges endpoints without any answer to it. */
    @Property
    void noEndpointIsChargedForAFailureWithoutAnAnswerElsewhere(@ForAll List<Boolean> refusals) {
        FaultAttribution request = new FaultAttribution();
        List<String> charged = new ArrayList<>();
        for (int i = 0; i < refusals.size(); i++) {
            EndpointId endpoint = new EndpointId("e" + i % 3);
            request.attemptEnded(endpoint, refusals.get(i) ? AttemptEnd.REFUSED : AttemptEnd.FAILED, o -> {
                if (o == EndpointSource.Observation.FAULTY_ANSWER) {
                    charged.add(endpoint.value());
                }
            });
        }
        assertThat(charged, is(empty()));
    }

    private void ended(String endpoint, AttemptEnd end) {
        faults.attemptEnded(new EndpointId(endpoint), end, o -> reports.add(endpoint + " " + o));
    }
}
