package org.magnoliabridge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Calls that may be written only while a condition holds. */
class ConditionalCallTest {
    private static final long WAIT_MS = 10_000;
    private static final HttpLimits LIMITS = new HttpLimits(WAIT_MS, WAIT_MS, WAIT_MS, 2 * WAIT_MS);
    private static final byte[] BODY = "{}".getBytes(StandardCharsets.US_ASCII);
    private static final SilentServer.End NOTHING_RECEIVED = new SilentServer.End(0, false);

    private UndertowHttpCaller caller;
    private SilentServer server;

    @BeforeEach
    void start() throws IOException {
        caller = new UndertowHttpCaller(1);
        server = new SilentServer();
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        server.close();
    }

    /** Guards against a call that is written to a new connection although its condition does not hold. */
    @TestFactory
    Stream<DynamicTest> callIsNotWrittenToANewConnection() {
        return Stream.of(CallMethod.values())
                .map(method -> DynamicTest.dynamicTest(method.name(), () -> checkNotWritten(method, false)));
    }

    /** Guards against a call that is written to a pooled connection although its condition does not hold. */
    @TestFactory
    Stream<DynamicTest> callIsNotWrittenToAPooledConnection() {
        return Stream.of(CallMethod.values())
                .map(method -> DynamicTest.dynamicTest(method.name(), () -> checkNotWritten(method, true)));
    }

    private static void checkNotWritten(CallMethod method, boolean pooled) throws Exception {
        try (UndertowHttpCaller own = new UndertowHttpCaller(1);
                SilentServer silent = new SilentServer()) {
            if (pooled) {
                own.call(ok(silent));
            }
            HttpCall call = post(silent).onlyWhile(() -> false);
            assertThrows(HttpFailure.NotSent.class, () -> method.run(own, call));
            assertThat(end(silent), is(NOTHING_RECEIVED));
            assertThat("connections", silent.connections(), is(1));
            assertThat(own.call(ok(silent)).status(), is(200));
        }
    }

    /** Guards against a condition that is evaluated before the connection is open, and ends while it is opened. */
    @Test
    void callIsNotWrittenIfItsConditionEndsBeforeTheConnect() throws Exception {
        AtomicBoolean holds = new AtomicBoolean(true);
        HttpCall call = post(server).onlyWhile(() -> {
            holds.set(!await(server.accepted()));
            return holds.get();
        });
        assertThrows(HttpFailure.NotSent.class, () -> caller.call(call));
        assertThat(end(server), is(NOTHING_RECEIVED));
    }

    /** Guards against a repetition that is written although the condition has ended, or reported as never sent. */
    @Test
    void repetitionIsNotWrittenIfTheConditionHasEnded() throws Exception {
        try (LoopbackServer closing = new LoopbackServer(ConditionalCallTest::answerOnce)) {
            HttpCall call = HttpCall.get(closing.address(), "/").withLimits(LIMITS);
            caller.call(call);
            AtomicInteger evaluations = new AtomicInteger();
            HttpCall twice = call.repeatable().onlyWhile(() -> evaluations.incrementAndGet() == 1);
            HttpFailure.Lost lost = assertThrows(HttpFailure.Lost.class, () -> caller.call(twice));
            assertThat(lost.getCause(), is(instanceOf(HttpFailure.NotSent.class)));
            assertThat("evaluations", evaluations.get(), is(2));
        }
    }

    /** Guards against a condition that is lost when a call is copied. */
    @Test
    void copiesKeepTheCondition() {
        HttpCall copy = HttpCall.of("POST", server.address(), "/ok")
                .onlyWhile(() -> false)
                .withHeader("X-A", "a")
                .withBody(BODY)
                .withLimits(LIMITS)
                .onFreshConnection()
                .repeatable()
                .withDeadlineHeader("X-Left-Ms")
                .withUnframedAnswer()
                .withMaxAnswerBytes(1_000)
                .withHeaders(Map.of());
        HttpFailure.NotSent failure = assertThrows(HttpFailure.NotSent.class, () -> caller.call(copy));
        assertThat(failure.getMessage(), containsString("condition"));
    }

    private static void answerOnce(Socket socket) throws IOException {
        LoopbackServer.readHead(socket.getInputStream());
        socket.getOutputStream()
                .write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=600\r\nContent-Length: 2\r\n\r\nok"
                        .getBytes(StandardCharsets.ISO_8859_1));
        LoopbackServer.readHead(socket.getInputStream());
    }

    private static HttpCall ok(SilentServer target) {
        return HttpCall.get(target.address(), "/ok").withLimits(LIMITS);
    }

    private static HttpCall post(SilentServer target) {
        return HttpCall.json("POST", target.address(), "/", BODY).withLimits(LIMITS);
    }

    private static SilentServer.End end(SilentServer of) throws Exception {
        return of.end().get(WAIT_MS, TimeUnit.MILLISECONDS);
    }

    private static boolean await(CountDownLatch latch) {
        try {
            return latch.await(WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
