package org.magnoliabridge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** A server that answers before it has read a long body, keeps the connection and reads on later. */
class EarlyAnswerTest {
    private static final long CALL_MS = 10_000;

    /** Guards against another call's bytes where the server expects the rest of a body. */
    @TestFactory
    Stream<DynamicTest> connectionIsNotReusedBeforeTheBodyIsSent() {
        return Stream.of(CallMethod.values())
                .map(method -> DynamicTest.dynamicTest(method.name(), () -> checkAnswerEndsEarly(method)));
    }

    /** Guards against a body of which the rest is not sent because its answer has begun. */
    @TestFactory
    Stream<DynamicTest> restOfTheBodyIsSentWhileTheAnswerArrives() {
        return Stream.of(CallMethod.values())
                .map(method -> DynamicTest.dynamicTest(method.name(), () -> checkAnswerEndsLate(method)));
    }

    private static void checkAnswerEndsEarly(CallMethod method) throws Exception {
        try (EarlyAnswerServer server = new EarlyAnswerServer(true);
                UndertowHttpCaller caller = new UndertowHttpCaller(1)) {
            assertThat(method.run(caller, post(server)).status(), is(200));
            assertThat(caller.call(ok(server)).text(), is("ok"));
            assertThat(caller.call(ok(server)).text(), is("ok"));
            server.readRest();
            EarlyAnswerServer.Received received = server.received().get(CALL_MS, TimeUnit.MILLISECONDS);
            assertThat("only bytes of the body", received.unchanged(), is(true));
        }
    }

    private static void checkAnswerEndsLate(CallMethod method) throws Exception {
        try (EarlyAnswerServer server = new EarlyAnswerServer(false);
                UndertowHttpCaller caller = new UndertowHttpCaller(1)) {
            server.readRest();
            assertThat(method.run(caller, post(server)).status(), is(200));
            EarlyAnswerServer.Received received = server.received().get(CALL_MS, TimeUnit.MILLISECONDS);
            assertThat("whole body", received.whole(), is(true));
            assertThat(caller.call(ok(server)).text(), is("ok"));
            assertThat("connections", server.connections(), is(1));
        }
    }

    private static HttpCall post(EarlyAnswerServer server) {
        return HttpCall.of("POST", server.address(), "/")
                .withBody(EarlyAnswerServer.body())
                .withLimits(HttpLimits.total(CALL_MS));
    }

    private static HttpCall ok(EarlyAnswerServer server) {
        return HttpCall.get(server.address(), "/ok").withLimits(HttpLimits.total(CALL_MS));
    }
}
