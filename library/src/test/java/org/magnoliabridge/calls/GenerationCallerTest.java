package org.magnoliabridge.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliabridge.calls.FakeEngine.Fault;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;

class GenerationCallerTest {
    private final CallFixture fixture = new CallFixture();
    private final List<String> streamed = new ArrayList<>();

    GenerationCallerTest() throws IOException {}

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    @Test
    void returnsACompleteResultWithItsVersions() throws CallException {
        Generation answer = generate();
        assertThat(answer.text(), is(" 2 3 4 5 6"));
        assertThat(answer.reason(), is(FinishReason.LENGTH));
        assertThat(answer.versions(), contains(new VersionRange(0, 5, new WeightVersion(7))));
        assertThat(fixture.endpoints.openSlots.get(), is(0));
    }

    /** Guards I9: an incomplete response, or one to another request, is discarded and the call is retried. */
    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {
                "CLOSE",
                "SILENT",
                "WRONG_ID",
                "SKIP_INDEX",
                "REPEAT_INDEX",
                "WRONG_COUNT",
                "NO_DONE",
                "EXTRA_TOKEN",
                "DRAINING"
            })
    void retriesOnAnotherEngineAfterAFaultyResponse(Fault fault) throws CallException {
        fixture.one.fault = fault;
        assertThat(generate().text(), is(" 2 3 4 5 6"));
        assertThat(fixture.two.generations(), hasSize(1));
    }

    /** Guards I9: no token is lost or repeated where a stream is resumed. */
    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"CLOSE", "SILENT", "SKIP_INDEX", "REPEAT_INDEX", "WRONG_ID"})
    void resumesAStreamWithoutLostOrRepeatedTokens(Fault fault) throws CallException {
        fixture.one.fault = fault;
        Generation answer = stream();
        assertThat(answer.text(), is(" 2 3 4 5 6"));
        assertThat(streamed, contains("0 2", "1 3", "2 4", "3 5", "4 6"));
        assertThat(fixture.endpoints.slotRequests.get(1).preferredVersion().orElseThrow(), is(new WeightVersion(7)));
    }

    /** Guards I1: tokens from engines with different weights are reported with their own versions. */
    @Test
    void reportsTheVersionOfEachRangeAfterAResume() throws CallException {
        fixture.one.fault = Fault.CLOSE;
        fixture.two.version = 8;
        assertThat(
                stream().versions(),
                contains(new VersionRange(0, 2, new WeightVersion(7)), new VersionRange(2, 5, new WeightVersion(8))));
    }

    /** Guards I9: if only the end of a response is lost, the stream is complete and no second request is sent. */
    @Test
    void completesAStreamWhoseEndWasLost() throws CallException {
        fixture.one.fault = Fault.NO_DONE;
        assertThat(stream().text(), is(" 2 3 4 5 6"));
        assertThat(fixture.two.generations(), is(empty()));
    }

    /** Guards I9: a stream whose finish event contradicts its tokens fails instead of completing. */
    @Test
    void failsAStreamWhoseFinishEventContradictsItsTokens() {
        fixture.one.fault = Fault.WRONG_COUNT;
        CallException failed = assertThrows(CallException.class, this::stream);
        assertThat(failed.failure(), is(instanceOf(Failure.IncompleteAnswer.class)));
        assertThat(failed.executionStatus(), is(ExecutionStatus.RAN));
    }

    /** Guards I9: a late event for an earlier request on the same connection is dropped and counted. */
    @Test
    void dropsAndCountsForeignEvents() throws CallException {
        fixture.one.fault = Fault.LATE_FOREIGN;
        assertThat(generate().text(), is(" 2 3 4 5 6"));
        assertThat(fixture.metrics.counter("calls.foreign_events_dropped").getCount(), is(1L));
        assertThat(fixture.two.generations(), is(empty()));
    }

    /** Guards against marking an engine unreachable because of one unresponsive connection. */
    @Test
    void reportsAnEngineUnreachableOnlyIfANewConnectionFailsToo() throws CallException {
        fixture.one.fault = Fault.SILENT;
        generate();
        assertThat(fixture.endpoints.observations, not(hasItem("one UNREACHABLE")));
        fixture.one.fault = Fault.SILENT_ALWAYS;
        generate();
        assertThat(fixture.endpoints.observations, hasItem("one UNREACHABLE"));
    }

    /** Guards I12: an engine that refuses work because it is draining is reported, so that it is not chosen again. */
    @Test
    void reportsADrainingEngine() throws CallException {
        fixture.one.fault = Fault.DRAINING;
        generate();
        assertThat(fixture.endpoints.observations, hasItem("one DRAINING"));
    }

    /** Guards I10: if every engine refuses the request before running it, the failure reports that it did not run. */
    @Test
    void reportsNotRunIfEveryEngineRefused() {
        fixture.one.fault = Fault.DRAINING;
        fixture.two.fault = Fault.DRAINING;
        assertThat(assertThrows(CallException.class, this::generate).executionStatus(), is(ExecutionStatus.NOT_RUN));
    }

    /** Guards I10: a failure of a later attempt does not hide that the first one ran or may have run. */
    @Test
    void neverReportsNotRunAfterAnAttemptThatMayHaveRun() {
        fixture.one.fault = Fault.CLOSE;
        fixture.two.fault = Fault.CLOSE;
        assertThat(assertThrows(CallException.class, this::generate).executionStatus(), is(ExecutionStatus.RAN));
        fixture.one.faultAt = 0;
        fixture.two.faultAt = 0;
        fixture.one.fault = Fault.SILENT_ALWAYS;
        fixture.two.fault = Fault.SILENT_ALWAYS;
        assertThat(assertThrows(CallException.class, this::generate).executionStatus(), is(ExecutionStatus.UNKNOWN));
    }

    /** Guards against a retry storm: retries are limited to a tenth of the calls. */
    @Test
    void stopsRetryingWhenTheBudgetIsExhausted() {
        fixture.one.fault = Fault.DRAINING;
        fixture.two.fault = Fault.DRAINING;
        for (int i = 0; i < 30; i++) {
            assertThrows(CallException.class, this::generate);
        }
        // 10 available initially, plus a tenth of 30 calls; the first call adds nothing because the budget is full.
        assertTrue(fixture.metrics.counter("calls.retries").getCount() <= 13);
        assertTrue(fixture.metrics.counter("calls.retries_refused_by_budget").getCount() > 0);
    }

    /** Guards against an engine that continues to generate for a caller that has disconnected. */
    @Test
    void cancelsAtTheEngineWhenTheCallerDisconnects() throws InterruptedException {
        fixture.one.fault = Fault.HOLD;
        Cancellation cancellation = new Cancellation();
        CallException failed = assertThrows(
                CallException.class,
                () -> fixture.caller.stream(request(), cancellation, (index, text, version) -> {
                    if (index == 1) {
                        cancellation.cancel(Cancellation.Reason.CALLER_GONE);
                    }
                    return true;
                }));
        assertThat(failed.failure(), is(instanceOf(Failure.CallerGone.class)));
        assertTrue(fixture.one.cancelled.await(5, TimeUnit.SECONDS));
        assertThat(fixture.two.generations(), is(empty()));
    }

    /** Guards against an engine that continues after the deadline, and against a failure that reports "not run". */
    @Test
    void cancelsAtTheEngineWhenTheDeadlinePasses() throws InterruptedException {
        fixture.one.fault = Fault.HOLD;
        fixture.one.faultAt = 0;
        GenerationRequest request = request(fixture.dependencies.clock().nowMs() + 100);
        CallException failed =
                assertThrows(CallException.class, () -> fixture.caller.generate(request, new Cancellation()));
        assertThat(failed.failure(), is(instanceOf(Failure.DeadlineExceeded.class)));
        assertThat(failed.executionStatus(), is(ExecutionStatus.UNKNOWN));
        assertTrue(fixture.one.cancelled.await(5, TimeUnit.SECONDS));
    }

    private Generation generate() throws CallException {
        return fixture.caller.generate(request(), new Cancellation());
    }

    private Generation stream() throws CallException {
        return fixture.caller.stream(
                request(), new Cancellation(), (index, text, version) -> streamed.add(index + text));
    }

    private GenerationRequest request() {
        return request(fixture.deadline());
    }

    private GenerationRequest request(long deadlineMs) {
        return new GenerationRequest(
                new ServiceId("coachgen"),
                new TeamId("anvil"),
                EndpointSource.Priority.TRAINING,
                "two words",
                5,
                deadlineMs,
                CallFixture.noTrace());
    }
}
