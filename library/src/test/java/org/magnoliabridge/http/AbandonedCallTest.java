package org.magnoliabridge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Conditional calls that end without their answer while their connection is open. */
class AbandonedCallTest {
    private static final long WAIT_MS = 10_000;
    private static final long SHORT_MS = 100;
    private static final HttpLimits LIMITS = new HttpLimits(WAIT_MS, WAIT_MS, WAIT_MS, 2 * WAIT_MS);
    private static final HttpLimits SHORT_LIMITS = new HttpLimits(WAIT_MS, SHORT_MS, SHORT_MS, WAIT_MS);

    private UndertowHttpCaller caller;
    private SilentServer server;

    /** How much of a body the kernel takes from a client whose server does not read. */
    private enum Body {
        WHOLE_IN_SEND_BUFFER(1 << 20),
        PARTLY_IN_SEND_BUFFER(16 << 20);

        private final int bytes;

        Body(int bytes) {
            this.bytes = bytes;
        }
    }

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

    /** Guards against a request that the kernel delivers after its call has timed out. */
    @TestFactory
    Stream<DynamicTest> requestIsNotDeliveredAfterItsTimeLimit() {
        return bodies((body, own, silent) ->
                checkReset(own, silent, post(silent, "/", body).withLimits(SHORT_LIMITS)));
    }

    /** Guards against a request that the kernel delivers from a pooled connection after its call has timed out. */
    @TestFactory
    Stream<DynamicTest> requestIsNotDeliveredFromAPooledConnection() {
        return bodies((body, own, silent) -> {
            own.call(HttpCall.get(silent.address(), "/ok").withLimits(LIMITS));
            checkReset(own, silent, post(silent, "/", body).withLimits(SHORT_LIMITS));
        });
    }

    /** Guards against a request that the kernel delivers after the client has closed on a malformed answer. */
    @TestFactory
    Stream<DynamicTest> requestIsNotDeliveredAfterAMalformedAnswer() {
        return bodies((body, own, silent) -> checkReset(own, silent, post(silent, "/broken", body)));
    }

    /** Guards against a call that is written after its time limit, when a busy I/O thread goes on. */
    @Test
    void requestIsNotWrittenAfterItsTimeLimit() throws Exception {
        HttpCall ok = HttpCall.get(server.address(), "/ok").withLimits(LIMITS);
        caller.call(ok);
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        HttpCall blocking = ok.onFreshConnection().onlyWhile(() -> {
            busy.countDown();
            return await(goOn);
        });
        CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
        Thread.ofPlatform().daemon().start(() -> answer.complete(run(blocking)));
        assertThat(await(busy), is(true));
        HttpCall late = HttpCall.get(server.address(), "/").withLimits(SHORT_LIMITS);
        assertThrows(HttpFailure.Lost.class, () -> caller.call(late.onlyWhile(() -> true)));
        goOn.countDown();
        assertThat(answer.get(WAIT_MS, TimeUnit.MILLISECONDS).status(), is(200));
        server.readRest();
        assertThat(end(server).bytes(), is(0));
        assertThat("connections", server.connections(), is(2));
    }

    /** Guards against a connection that is reset although its call has its answer, or is not reused. */
    @Test
    void connectionOfAnAnsweredCallIsReused() throws Exception {
        HttpCall call = HttpCall.get(server.address(), "/ok").withLimits(LIMITS).onlyWhile(() -> true);
        assertThat(caller.call(call).status(), is(200));
        assertThat(caller.call(call).status(), is(200));
        assertThat("connections", server.connections(), is(1));
    }

    private static void checkReset(UndertowHttpCaller own, SilentServer silent, HttpCall call) throws Exception {
        assertThrows(HttpFailure.Lost.class, () -> own.call(call.onlyWhile(() -> true)));
        silent.readRest();
        SilentServer.End end = end(silent);
        assertThat("bytes received", end.bytes(), is(lessThan((int) call.body().size())));
        assertThat("reset", end.reset(), is(true));
        assertThat("connections", silent.connections(), is(1));
    }

    private static HttpCall post(SilentServer target, String path, Body body) {
        return HttpCall.of("POST", target.address(), path)
                .withBody(new byte[body.bytes])
                .withLimits(LIMITS);
    }

    private static Stream<DynamicTest> bodies(Check check) {
        return Stream.of(Body.values())
                .map(body -> DynamicTest.dynamicTest(body.name(), () -> {
                    try (UndertowHttpCaller own = new UndertowHttpCaller(1);
                            SilentServer silent = new SilentServer()) {
                        check.run(body, own, silent);
                    }
                }));
    }

    private HttpAnswer run(HttpCall call) {
        try {
            return caller.call(call);
        } catch (HttpFailure e) {
            throw new IllegalStateException(e);
        }
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

    /** A check of one body with a caller and server of its own. */
    private interface Check {
        void run(Body body, UndertowHttpCaller own, SilentServer silent) throws Exception;
    }
}
