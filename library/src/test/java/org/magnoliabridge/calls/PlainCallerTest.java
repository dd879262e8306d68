package org.magnoliabridge.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.http.EarlyAnswerServer;
import org.magnoliabridge.http.RefusingPort;
import org.magnoliabridge.http.UndertowHttpCaller;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.memory.Holding;
import org.magnoliabridge.memory.MemoryClaim;
import org.magnoliabridge.memory.SharedMemory;

class PlainCallerTest {
    private static final String JSON = "application/json";

    private final CallFixture fixture = new CallFixture();
    private volatile FakeBackEnd.Script script = (request, out) -> FakeBackEnd.respond(out, 200, JSON, "{\"a\":1}");
    private final FakeBackEnd one = new FakeBackEnd((request, out) -> script.answer(request, out));
    private final FakeBackEnd two = new FakeBackEnd((request, out) -> FakeBackEnd.respond(out, 201, JSON, "{}"));
    private final PlainCaller caller = new PlainCaller(new PlainServiceAdapter(fixture.http), fixture.dependencies);

    PlainCallerTest() throws IOException {
        fixture.endpoints.endpoints.clear();
        fixture.endpoints.add("one", one.address()).add("two", two.address());
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
        one.close();
        two.close();
    }

    /** Guards I5: only headers on the allow list are sent. */
    @Test
    void sendsOnlyHeadersOnTheAllowList() throws CallException {
        PlainAnswer answer = call(false);
        assertThat(new String(answer.body(), StandardCharsets.UTF_8), is("{\"a\":1}"));
        assertThat(one.recorded(), containsString("POST /bookings?bench=1 HTTP/1.1"));
        assertThat(one.recorded(), not(containsString("secret")));
    }

    /** Guards I11 and I10: a non-idempotent request without a response is not retried nor reported as "not run". */
    @Test
    void neverRetriesANonIdempotentCallWithALostResponse() {
        script = (request, out) -> false;
        CallException failed = assertThrows(CallException.class, () -> call(false));
        assertThat(failed.failure(), is(instanceOf(Failure.OutcomeUnknown.class)));
        assertThat(failed.executionStatus(), is(ExecutionStatus.UNKNOWN));
        assertThat(one.requests("/"), hasSize(1));
        assertThat(two.requests("/"), hasSize(0));
    }

    @Test
    void retriesAnIdempotentCallAtAnotherEndpoint() throws CallException {
        script = (request, out) -> false;
        assertThat(call(true).status(), is(201));
    }

    /** Guards against a failure that reaches the caller because one endpoint's answer never ends. */
    @Test
    void retriesAnIdempotentCallAfterAnAnswerWithoutEnd() throws CallException {
        script = PlainCallerTest::answerWithoutEnd;
        assertThat(call(true).status(), is(201));
        assertThat(fixture.endpoints.observations, contains("one FAULTY_ANSWER", "two ANSWERED"));
    }

    /** Guards I11: a non-idempotent request with an answer that never ends has run, so it is not sent again. */
    @Test
    void neverRetriesANonIdempotentCallAfterAnAnswerWithoutEnd() {
        script = PlainCallerTest::answerWithoutEnd;
        CallException failed = assertThrows(CallException.class, () -> call(false));
        assertThat(failed.failure(), is(instanceOf(Failure.IncompleteAnswer.class)));
        assertThat(failed.executionStatus(), is(ExecutionStatus.RAN));
        assertThat(two.requests("/"), hasSize(0));
    }

    /** Guards against an endpoint that is charged, or asked again, because this node has no room for its answer. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doesNotChargeAnEndpointForAnAnswerWithoutRoom(boolean idempotent) throws IOException {
        script = (request, out) -> FakeBackEnd.respond(out, 200, JSON, "a".repeat(1 << 20));
        try (SharedMemory memory = new SharedMemory(8 << 20, MonotonicClock.system(), new MetricRegistry());
                MemoryClaim others = memory.open(Holding.BATCH_READ, "10.0.0.1");
                UndertowHttpCaller http = new UndertowHttpCaller(1, memory)) {
            assertThat(others.tryTake(7 << 20), is(true));
            PlainCaller withoutRoom = new PlainCaller(new PlainServiceAdapter(http), fixture.dependencies);
            CallException failed = assertThrows(
                    CallException.class,
                    () -> withoutRoom.call(request(idempotent, "/", new byte[0]), new Cancellation()));
            assertThat(failed.failure(), is(instanceOf(Failure.IncompleteAnswer.class)));
            assertThat(failed.executionStatus(), is(ExecutionStatus.RAN));
        }
        assertThat(fixture.endpoints.observations, is(empty()));
        assertThat(two.requests("/"), hasSize(0));
    }

    // Ends when the caller closes the connection.
    private static boolean answerWithoutEnd(FakeBackEnd.Request request, OutputStream out) throws IOException {
        out.write("HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        byte[] part = new byte[64 * 1024];
        while (true) {
            out.write(part);
        }
    }

    /** Guards against an endpoint that is charged with a faulty answer because it closed an idle connection. */
    @Test
    void sendsAnIdempotentCallAgainIfItsReusedConnectionIsClosed() throws CallException {
        assertThat(call(true).status(), is(200));
        script = (request, out) -> {
            boolean dropped = one.requests("/").size() == 2;
            return !dropped && FakeBackEnd.respond(out, 200, JSON, "{}");
        };
        assertThat(call(true).status(), is(200));
        assertThat(fixture.endpoints.observations, contains("one ANSWERED", "one ANSWERED"));
        assertThat(one.requests("/"), hasSize(3));
        assertThat(fixture.metrics.counter("calls.retries").getCount(), is(0L));
    }

    /** Guards against an endpoint that is not charged although a new connection fails too. */
    @Test
    void chargesTheEndpointIfTheNewConnectionIsClosedToo() throws CallException {
        assertThat(call(true).status(), is(200));
        script = (request, out) -> false;
        assertThat(call(true).status(), is(201));
        assertThat(fixture.endpoints.observations, contains("one ANSWERED", "one FAULTY_ANSWER", "two ANSWERED"));
        assertThat(one.requests("/"), hasSize(3));
        assertThat(fixture.metrics.counter("calls.retries").getCount(), is(1L));
    }

    /** Guards against another request's bytes where an endpoint that answered early expects the rest of a body. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void sendsNothingElseWhereTheRestOfABodyIsDue(boolean idempotent) throws Exception {
        try (EarlyAnswerServer early = new EarlyAnswerServer(true)) {
            fixture.endpoints.endpoints.clear();
            fixture.endpoints.add("early", early.address());
            assertThat(call(idempotent, "/", EarlyAnswerServer.body()).status(), is(200));
            assertThat(call(true, "/ok", new byte[0]).status(), is(200));
            early.readRest();
            EarlyAnswerServer.Received received = early.received().get(5, TimeUnit.SECONDS);
            assertThat("only bytes of the body", received.unchanged(), is(true));
        }
    }

    /** Guards against a caller that waits until its deadline for a head that never ends. */
    @Test
    void movesAnIdempotentCallAwayFromAHeadWithoutEnd() throws CallException {
        script = PlainCallerTest::headWithoutEnd;
        assertThat(call(true).status(), is(201));
    }

    /** Guards I10: a head that never ends does not prove that the request did not run. */
    @Test
    void reportsAHeadWithoutEndAsUnknown() {
        script = PlainCallerTest::headWithoutEnd;
        CallException failed = assertThrows(CallException.class, () -> call(false));
        assertThat(failed.executionStatus(), is(ExecutionStatus.UNKNOWN));
        assertThat(two.requests("/"), hasSize(0));
    }

    /** Guards I9: a body shorter than its Content-Length is not a complete response. */
    @Test
    void rejectsATruncatedResponse() {
        script = (request, out) -> {
            out.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello".getBytes(StandardCharsets.UTF_8));
            return false;
        };
        CallException failed = assertThrows(CallException.class, () -> call(false));
        assertThat(failed.executionStatus(), is(ExecutionStatus.UNKNOWN));
    }

    /** Guards I11: a call that a draining endpoint did not run is retried at another one, also if not idempotent. */
    @Test
    void retriesACallThatDidNotRunAtAnotherEndpoint() throws CallException {
        script = (request, out) ->
                FakeBackEnd.respond(out, 503, JSON, "{\"error\":{\"type\":\"draining\",\"run\":\"not_run\"}}");
        assertThat(call(false).status(), is(201));
    }

    /** Guards I11: only status 503 with {@code not_run} proves that a call did not run. */
    @Test
    void treatsNoOtherRefusalAsNotRun() throws CallException {
        script = (request, out) -> FakeBackEnd.respond(out, 503, JSON, "{\"error\":\"draining\"}");
        assertThat(call(false).status(), is(503));
        script = (request, out) -> FakeBackEnd.respond(out, 400, JSON, "{\"error\":\"a\",\"run\":\"not_run\"}");
        assertThat(call(false).status(), is(400));
        assertThat(two.requests("/"), hasSize(0));
    }

    /** Guards I10: no endpoint accepts connections, so nothing was written. */
    @Test
    void reportsNotRunIfNoEndpointIsReachable() throws IOException {
        fixture.endpoints.endpoints.clear();
        try (RefusingPort first = new RefusingPort();
                RefusingPort second = new RefusingPort()) {
            fixture.endpoints.add("one", first.address()).add("two", second.address());
            assertThat(
                    assertThrows(CallException.class, () -> call(false)).executionStatus(),
                    is(ExecutionStatus.NOT_RUN));
        }
    }

    private static boolean headWithoutEnd(FakeBackEnd.Request request, OutputStream out) throws IOException {
        out.write("HTTP/1.1 200 OK\r\nX-A: ".getBytes(StandardCharsets.UTF_8));
        while (true) {
            out.write("a".repeat(8_192).getBytes(StandardCharsets.UTF_8));
        }
    }

    private PlainAnswer call(boolean idempotent) throws CallException {
        return call(idempotent, "/bookings?bench=1", "{}".getBytes(StandardCharsets.UTF_8));
    }

    private PlainAnswer call(boolean idempotent, String path, byte[] body) throws CallException {
        return caller.call(request(idempotent, path, body), new Cancellation());
    }

    private PlainRequest request(boolean idempotent, String path, byte[] body) {
        return new PlainRequest(
                new ServiceId("benchdesk"),
                new TeamId("anvil"),
                "POST",
                path,
                Map.of("content-type", JSON, "authorization", "Bearer secret", "x-other", "secret"),
                body,
                idempotent,
                PlainRequest.DEFAULT_ATTEMPTS,
                fixture.deadline(),
                new RequestId("r1"),
                CallFixture.noTrace());
    }
}
