package org.magnoliabridge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.magnoliabridge.calls.FakeBackEnd;

/** A server that closes a connection that a call is about to reuse, or while the call is on its way. */
class ReusedConnectionTest {
    private static final HttpLimits LIMITS = new HttpLimits(10_000, 10_000, 10_000, 10_000);
    private static final long LATE_MS = 100;
    private static final Pattern LEFT_MS = Pattern.compile("x-left-ms: (\\d+)");

    private UndertowHttpCaller caller;
    private FakeBackEnd server;
    private volatile FakeBackEnd.Script script;

    @BeforeEach
    void start() throws IOException {
        caller = new UndertowHttpCaller(1);
        server = new FakeBackEnd((request, out) -> script.answer(request, out));
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        server.close();
    }

    /** Guards against a call that fails because its server closed an idle connection. */
    @TestFactory
    Stream<DynamicTest> sendsARepeatableCallAgain() {
        return Stream.of(CallMethod.values())
                .flatMap(method -> Stream.of(Drop.values())
                        .map(drop ->
                                DynamicTest.dynamicTest(method + ", " + drop, () -> checkSentAgain(method, drop))));
    }

    private void checkSentAgain(CallMethod method, Drop drop) throws Exception {
        try (UndertowHttpCaller own = new UndertowHttpCaller(1);
                FakeBackEnd back = new FakeBackEnd((request, out) -> script.answer(request, out))) {
            script = (request, out) -> back.requests("/").size() == 2 ? drop.drop() : ok(out);
            HttpCall call = HttpCall.get(back.address(), "/").withLimits(LIMITS);
            method.run(own, call);
            assertThat(method.run(own, call.repeatable()).status(), is(200));
            assertThat(back.requests("/"), hasSize(3));
        }
    }

    /** Guards against a call that is executed twice although it must not be. */
    @Test
    void doesNotSendOtherCallsAgain() throws HttpFailure {
        dropAllButTheFirst();
        assertThrows(HttpFailure.ReusedConnectionLost.class, () -> caller.call(call()));
        assertThat(server.requests("/"), hasSize(2));
    }

    /** Guards against a call that is sent without end to a server that closes every connection. */
    @Test
    void reportsALostAnswerIfTheNewConnectionIsClosedToo() throws HttpFailure {
        dropAllButTheFirst();
        assertLost(call().repeatable());
        assertThat(server.requests("/"), hasSize(3));
    }

    /** Guards against a call that is sent again although its answer had begun. */
    @Test
    void doesNotSendACallAgainWhoseAnswerHasBegun() throws HttpFailure {
        answerFirst((request, out) -> {
            out.write('H');
            return false;
        });
        assertLost(call().repeatable());
        assertThat(server.requests("/"), hasSize(2));
    }

    /** Guards against reporting a call as not sent that the server may have executed. */
    @Test
    void doesNotReportACallAsNotSentIfTheServerIsGone() throws HttpFailure {
        answerFirst((request, out) -> {
            server.close();
            return false;
        });
        assertLost(call().repeatable());
    }

    /** Guards against a server that is told more time than the call has left. */
    @Test
    void tellsTheServerTheTimeThatIsLeft() throws HttpFailure {
        answerFirst((request, out) -> {
            if (server.requests("/").size() == 2) {
                Thread.sleep(LATE_MS);
                return false;
            }
            return ok(out);
        });
        caller.call(call().withDeadlineHeader("X-Left-Ms").repeatable());
        List<FakeBackEnd.Request> sent = server.requests("/");
        assertThat(leftMs(sent.get(1)), is(LIMITS.totalMs()));
        assertThat(leftMs(sent.get(2)), is(lessThanOrEqualTo(LIMITS.totalMs() - LATE_MS)));
    }

    /** Guards against a call that reaches its server later than its caller allows for. */
    @Test
    void doesNotSendACallAgainAfterItsTimeToConnect() throws HttpFailure {
        answerFirst((request, out) -> {
            Thread.sleep(LATE_MS);
            return false;
        });
        HttpCall call = call().withLimits(new HttpLimits(LATE_MS / 2, 10_000, 10_000, 10_000));
        assertThrows(HttpFailure.ReusedConnectionLost.class, () -> caller.call(call.repeatable()));
        assertThat(server.requests("/"), hasSize(2));
    }

    private void dropAllButTheFirst() throws HttpFailure {
        answerFirst((request, out) -> false);
    }

    private void answerFirst(FakeBackEnd.Script then) throws HttpFailure {
        script = (request, out) -> ok(out);
        caller.call(call());
        script = then;
    }

    private HttpCall call() {
        return HttpCall.get(server.address(), "/").withLimits(LIMITS);
    }

    private void assertLost(HttpCall call) {
        HttpFailure.Lost lost = assertThrows(HttpFailure.Lost.class, () -> caller.call(call));
        assertThat(lost, is(not(instanceOf(HttpFailure.ReusedConnectionLost.class))));
    }

    private static long leftMs(FakeBackEnd.Request request) {
        Matcher matcher = LEFT_MS.matcher(request.head());
        assertThat(request.head(), matcher.find(), is(true));
        return Long.parseLong(matcher.group(1));
    }

    private static boolean ok(OutputStream out) throws IOException {
        out.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }

    private enum Drop {
        CLOSE {
            @Override
            boolean drop() {
                return false;
            }
        },
        RESET {
            @Override
            boolean drop() throws IOException {
                throw new FakeBackEnd.ConnectionReset();
            }
        };

        abstract boolean drop() throws IOException;
    }
}
