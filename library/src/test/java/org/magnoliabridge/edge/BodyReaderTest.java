package org.magnoliabridge.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.edge.BodyFixture.Answer;
import org.magnoliabridge.edge.BodyFixture.Connection;
import org.magnoliabridge.memory.FakeMemory;
import org.magnoliabridge.memory.FakeMemory.FakeClaim;
import org.magnoliabridge.memory.Holding;

/** Tests how bodies are read over sockets, with a memory whose decisions the tests make. */
class BodyReaderTest {
    private static final String CHUNKED = "Transfer-Encoding: chunked";
    private static final int BLOCK_BYTES = 64 * 1024;

    // A refused body of allowed size may end, within a bounded time.
    private static final int CLOSED_MS = (int) BodyConduit.DROP_ALLOWED_MS + 2_000;

    private final FakeMemory memory = new FakeMemory();
    private final BodyFixture f = new BodyFixture(memory);

    // An exchange that does not end is counted as an open request for ever.
    @AfterEach
    void stop() throws InterruptedException {
        try {
            f.mayAnswer.countDown();
            BodyFixture.await("all exchanges have ended", () -> f.open.get() == 0);
        } finally {
            f.close();
        }
    }

    private FakeClaim claim() throws InterruptedException {
        BodyFixture.await(
                "a claim",
                () -> !memory.claims().isEmpty()
                        && !memory.claims().getLast().requests().isEmpty());
        return memory.claims().getLast();
    }

    /** Guards against bodies that are altered, or need a block or a claim other than their size. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4096, 65_536, 65_537, 1_000_000, (int) BodyFixture.MAX_BYTES})
    void announcedBodyClaimsItsSizeAndIsServed(int size) throws Exception {
        byte[] body = BodyFixture.bytes(size);
        try (Connection c = f.connect()) {
            c.sendHead("/", "Content-Length: " + size).send(body);
            assertThat(c.read().body(), is(BodyFixture.answerTo(body)));
        }
        FakeClaim claim = claim();
        assertThat(claim.holding(), is(Holding.REQUEST_BODY));
        assertThat(claim.origin(), is("127.0.0.1"));
        assertThat(claim.requests(), contains((long) size));
        assertThat(claim.progressCount(), greaterThan(0));
        f.served.getFirst().buffers().forEach(b -> assertThat(b.remaining(), lessThanOrEqualTo(BLOCK_BYTES)));
        BodyFixture.await("the claim is closed", claim::isClosed);
    }

    /** Guards against a body without a length that is altered, or claims all at once. */
    @Test
    void chunkedBodyClaimsInSteps() throws Exception {
        byte[] body = BodyFixture.bytes((int) BodyFixture.MAX_BYTES);
        try (Connection c = f.connect()) {
            c.sendHead("/", CHUNKED);
            for (int at = 0; at < body.length; at += 100_000) {
                c.sendChunk(Arrays.copyOfRange(body, at, Math.min(body.length, at + 100_000)));
            }
            c.send("0\r\n\r\n");
            assertThat(c.read().body(), is(BodyFixture.answerTo(body)));
        }
        assertThat(
                claim().requests(), contains(65_536L, 65_536L, 131_072L, 262_144L, 524_288L, 1_048_576L, 1_048_576L));
        BodyFixture.await("the claim is closed", claim()::isClosed);
    }

    @Test
    void requestWithoutABodyClaimsNothing() throws Exception {
        try (Connection c = f.connect()) {
            c.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            assertThat(c.read().body(), is("0 0"));
            c.sendHead("/", "Content-Length: 0");
            assertThat(c.read().body(), is("0 0"));
            c.sendHead("/", CHUNKED).send("0\r\n\r\n");
            assertThat(c.read().body(), is("0 0"));
        }
    }

    /** Guards against bodies that are read before there is room for them. */
    @Test
    void bodyThatWaitsIsNotReadUntilItIsGranted() throws Exception {
        memory.holdRequests();
        byte[] body = BodyFixture.bytes(2 << 20);
        try (Connection c = f.connect()) {
            c.sendHead("/", "Content-Length: " + body.length);
            FakeClaim claim = claim();
            Thread sender = Thread.ofVirtual().start(() -> {
                try {
                    c.send(body);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            Thread.sleep(200);
            assertThat(claim.progressCount(), is(0));
            assertThat(f.served, is(empty()));
            claim.grant();
            assertThat(c.read().body(), is(BodyFixture.answerTo(body)));
            sender.join();
        }
    }

    /** Guards against a body that waits for more room in its middle and loses bytes. */
    @Test
    void chunkedBodyWaitsForItsNextStep() throws Exception {
        memory.holdRequests();
        byte[] body = BodyFixture.bytes(150_000);
        try (Connection c = f.connect()) {
            c.sendHead("/", CHUNKED).sendChunk(body).send("0\r\n\r\n");
            claim().grant();
            BodyFixture.await(
                    "a second step", () -> memory.claims().getLast().requests().size() == 2);
            claim().grant();
            BodyFixture.await(
                    "a third step", () -> memory.claims().getLast().requests().size() == 3);
            assertThat(f.served, is(empty()));
            claim().grant();
            assertThat(c.read().body(), is(BodyFixture.answerTo(body)));
        }
    }

    /** Guards against a caller that waits for an answer while there is no room, or takes the refusal for a failure. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 3000000", CHUNKED})
    void bodyWithoutRoomIsRefused(String framing) throws Exception {
        memory.holdRequests();
        try (Connection c = f.connect()) {
            c.sendHead("/", framing);
            claim().refuse();
            Answer answer = c.read();
            assertThat(answer.status(), is(503));
            assertThat(answer.body(), containsString("\"run\":\"not_run\""));
            assertThat(answer.body(), containsString("retry_after_ms"));
            assertThat(answer.head(), containsString("connection: close"));
            assertThat(claim().isClosed(), is(true));
            assertThat(c.isClosedWithin(CLOSED_MS), is(true));
        }
        assertThat(f.served, is(empty()));
    }

    /** Guards against a claim that does not give way, or an answer that is destroyed by the close. */
    @Test
    void evictedBodyIsRefused() throws Exception {
        try (Connection c = f.connect()) {
            c.sendHead("/", "Content-Length: 1000000").send(new byte[500_000]);
            BodyFixture.await(
                    "progress",
                    () -> !memory.claims().isEmpty()
                            && memory.claims().getLast().progressCount() > 0);
            claim().evict();
            assertThat(c.read().status(), is(503));
            assertThat(claim().isClosed(), is(true));
            assertThat(c.isClosedWithin(CLOSED_MS), is(true));
        }
        assertThat(f.served, is(empty()));
    }

    /** Guards against callers that cannot read a refusal because their connection is reset while they send. */
    @Test
    void refusedBodyOfAllowedSizeMayEnd() throws Exception {
        byte[] body = BodyFixture.bytes(3_000_000);
        memory.holdRequests();
        try (Connection c = f.connect()) {
            c.sendHead("/", "Content-Length: " + body.length);
            claim().refuse();
            c.send(Arrays.copyOf(body, 1_000_000));
            Thread.sleep(1_500);
            c.send(Arrays.copyOfRange(body, 1_000_000, body.length));
            assertThat(c.read().status(), is(503));
            assertThat(c.isClosedWithin(3_000), is(true));
        }
        assertThat(f.served, is(empty()));
    }

    /** Guards against callers that get no answer from a node that stops while their bodies wait or arrive. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bodyIsRefusedWhenTheNodeStops(boolean waits) throws Exception {
        if (waits) {
            memory.holdRequests();
        }
        try (Connection c = f.connect()) {
            c.sendHead("/", "Content-Length: 1000000").send(new byte[500_000]);
            FakeClaim claim = claim();
            f.cancellation.cancel(Cancellation.Reason.SHUTDOWN);
            Answer answer = c.read();
            assertThat(answer.status(), is(503));
            assertThat(answer.body(), containsString("\"type\":\"draining\""));
            assertThat(claim.isClosed(), is(true));
        }
        assertThat(f.served, is(empty()));
    }

    /** Guards against a request that runs and is answered as not run. */
    @Test
    void requestThatRunsIsNotStalledAndDoesNotGiveWay() throws Exception {
        try (Connection c = f.connect()) {
            c.sendHead("/held", "Content-Length: 3").send("abc");
            BodyFixture.await("the request runs", () -> f.served.size() == 1);
            int before = claim().progressCount();
            BodyFixture.await("progress", () -> memory.claims().getLast().progressCount() > before + 1);
            claim().evict();
            Thread.sleep(100);
            assertThat(claim().isClosed(), is(false));
            f.mayAnswer.countDown();
            assertThat(c.read().status(), is(200));
            BodyFixture.await("the claim is closed", memory.claims().getLast()::isClosed);
        }
    }

    /** Guards against memory that a request holds although nothing needs its body any more. */
    @Test
    void droppedBodyIsReturnedWhileTheRequestRuns() throws Exception {
        try (Connection c = f.connect()) {
            c.sendHead("/dropped", "Content-Length: 3").send("abc");
            BodyFixture.await("the claim is closed", claim()::isClosed);
            assertThat(f.open.get(), is(1));
            f.mayAnswer.countDown();
            assertThat(c.read().body(), is("0 0"));
        }
    }

    /** Guards against bodies that stop short of their end and keep their room for ever. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 1000000\r\n\r\nabc", CHUNKED + "\r\n\r\n5\r\nabc", CHUNKED + "\r\n\r\n"})
    void bodyWithoutProgressIsRefused(String rest) throws Exception {
        try (Connection c = f.connect()) {
            c.send("POST / HTTP/1.1\r\nHost: a\r\n" + rest);
            Answer answer = c.read();
            assertThat(answer.status(), is(408));
            assertThat(answer.body(), containsString("\"run\":\"not_run\""));
            assertThat(claim().isClosed(), is(true));
            assertThat(c.isClosedWithin(3_000), is(true));
        }
        assertThat(f.refused, contains(instanceOf(Failure.BodyStalled.class)));
    }

    /** Guards against a slow body that is refused although it makes progress. */
    @Test
    void slowBodyIsServed() throws Exception {
        try (Connection c = f.connect()) {
            c.sendHead("/", "Content-Length: 8");
            for (int i = 0; i < 8; i++) {
                Thread.sleep(BodyFixture.STALL_MS / 4);
                c.send("x");
            }
            assertThat(c.read().status(), is(200));
        }
    }

    @Test
    void announcedBodyOverTheLimitIsRefusedUnread() throws Exception {
        try (Connection c = f.connect()) {
            c.sendHead("/", "Content-Length: " + (BodyFixture.MAX_BYTES + 1));
            Answer answer = c.read();
            assertThat(answer.status(), is(413));
            assertThat(answer.head(), containsString("connection: close"));
            assertThat(c.isClosedWithin(3_000), is(true));
        }
        assertThat(memory.claims(), is(empty()));
    }

    /** Guards against a body without a length that grows over the limit, and one of just the limit that is refused. */
    @Test
    void bodyThatGrowsOverTheLimitIsRefused() throws Exception {
        f.limits = new BodyReader.Limits(100_000, BodyFixture.STALL_MS);
        byte[] whole = BodyFixture.bytes(100_000);
        try (Connection c = f.connect()) {
            c.sendHead("/", CHUNKED).sendChunk(whole).send("0\r\n\r\n");
            assertThat(c.read().body(), is(BodyFixture.answerTo(whole)));
            c.sendHead("/", CHUNKED).sendChunk(whole).sendChunk(new byte[1]);
            assertThat(c.read().status(), is(413));
            assertThat(c.isClosedWithin(3_000), is(true));
        }
        assertThat(claim().isClosed(), is(true));
    }

    /** Guards against a refused caller that makes the server read on. */
    @ParameterizedTest
    @ValueSource(strings = {"/", "/none"})
    void littleIsReadAfterARefusal(String path) throws Exception {
        long floodBytes = 256L << 20;
        try (Connection c = f.connect()) {
            c.sendHead(path, "Content-Length: " + floodBytes);
            Answer answer = c.read();
            assertThat(answer.status(), is(path.equals("/") ? 413 : 404));
            long startNanos = System.nanoTime();
            long sent = c.flood(floodBytes);
            long tookMs = (System.nanoTime() - startNanos) / 1_000_000;
            // The socket's buffers hold a few MiB beside what the server reads.
            assertThat(sent, lessThanOrEqualTo(32L << 20));
            assertThat(tookMs, lessThanOrEqualTo(5_000L));
        }
    }

    /** Guards against a connection that is reset, with the answer on its way, because bytes of the body are unread. */
    @ParameterizedTest
    @ValueSource(strings = {"/", "/none"})
    void connectionIsNotResetAtOnce(String path) throws Exception {
        for (String close : new String[] {"", "Connection: close\r\n"}) {
            try (Connection c = f.connect()) {
                c.sendHead(path, close + "Content-Length: " + (BodyFixture.MAX_BYTES + 1))
                        .send(new byte[300_000]);
                c.read();
                assertThat(c.isResetAfter(300), is(false));
                assertThat(c.isResetAfter(2_000), is(true));
            }
        }
    }

    /** Guards against an answer that is lost because the caller sends its whole body before it reads. */
    @Test
    void refusalArrivesWhileTheBodyIsSent() throws Exception {
        try (Connection c = f.connect()) {
            c.sendHead("/", "Content-Length: " + (BodyFixture.MAX_BYTES + 1));
            c.flood(BodyFixture.MAX_BYTES);
            assertThat(c.read().status(), is(413));
        }
    }

    /** Guards against a connection that is lost because of an unread body of ordinary size. */
    @Test
    void connectionStaysOpenAfterASmallUnreadBody() throws Exception {
        try (Connection c = f.connect()) {
            c.sendHead("/none", "Content-Length: 60000").send(new byte[60_000]);
            assertThat(c.read().status(), is(404));
            c.sendHead("/", "Content-Length: 3").send("abc");
            assertThat(c.read().status(), is(200));
        }
    }

    /** Guards against trailers and chunk extensions without end, which carry no content. */
    @ParameterizedTest
    @ValueSource(strings = {"/", "/none"})
    void endlessTrailersEndTheConnection(String path) throws Exception {
        for (String start : new String[] {"0\r\nA: ", "5;a="}) {
            try (Connection c = f.connect()) {
                c.sendHead(path, CHUNKED).send(start);
                assertThat(start, c.flood(256L << 20), lessThanOrEqualTo(32L << 20));
            }
        }
        assertThat(f.served, is(empty()));
    }

    /** Guards against claims that outlive their caller. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void claimIsReturnedAfterTheCallerHasLeft(boolean waits) throws Exception {
        if (waits) {
            memory.holdRequests();
        }
        try (Connection c = f.connect()) {
            c.sendHead("/", "Content-Length: 1000000").send(new byte[1_000]);
            claim();
        }
        if (waits) {
            claim().grant();
        }
        BodyFixture.await("the claim is closed", memory.claims().getLast()::isClosed);
        assertThat(f.served, is(empty()));
    }

    /** Guards against a truncated body that is served. */
    @Test
    void truncatedBodyIsMalformed() throws Exception {
        try (Connection c = f.connect()) {
            c.sendHead("/", "Content-Length: 100").send("half").endOutput();
            assertThat(c.read().status(), is(400));
            assertThat(c.isClosedWithin(3_000), is(true));
        }
        assertThat(f.refused, contains(instanceOf(Failure.MalformedRequest.class)));
        assertThat(claim().isClosed(), is(true));
    }

    /** Guards against a truncated body that is served; the server closes such a connection itself. */
    @Test
    void truncatedChunksEndTheConnection() throws Exception {
        try (Connection c = f.connect()) {
            c.sendHead("/", CHUNKED).send("64\r\nhalf").endOutput();
            assertThat(c.isClosedWithin(3_000), is(true));
        }
        BodyFixture.await("the claim is closed", claim()::isClosed);
        assertThat(f.served, is(empty()));
    }

    /** Guards against requests that wait in vain for leave to send their body, or get it before there is room. */
    @Test
    void callerIsToldToContinueOnceThereIsRoom() throws Exception {
        memory.holdRequests();
        try (Connection c = f.connect()) {
            c.sendHead("/", "Content-Length: 3\r\nExpect: 100-continue");
            claim().grant();
            assertThat(c.read().status(), is(100));
            c.send("abc");
            assertThat(c.read().body(), is(BodyFixture.answerTo("abc".getBytes(StandardCharsets.UTF_8))));
            c.sendHead("/", "Content-Length: 3\r\nExpect: 100-continue");
            BodyFixture.await("a second claim", () -> memory.claims().size() == 2);
            claim().refuse();
            assertThat(c.read().status(), is(503));
        }
    }

    /** Guards against bytes of the next request that are taken for the body, and connections that cannot be reused. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 5\r\n\r\nhello", CHUNKED + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"})
    void nextRequestOfAConnectionIsServed(String rest) throws Exception {
        String request = "POST / HTTP/1.1\r\nHost: a\r\n" + rest;
        String hello = BodyFixture.answerTo("hello".getBytes(StandardCharsets.UTF_8));
        try (Connection c = f.connect()) {
            for (int i = 0; i < 3; i++) {
                c.send(request);
                assertThat(c.read().body(), is(hello));
            }
            c.send(request + request + request);
            for (int i = 0; i < 3; i++) {
                assertThat(c.read().body(), is(hello));
            }
        }
        assertThat(f.served.size(), is(6));
        assertThat(f.refused, is(empty()));
        assertThat(memory.claims(), is(not(empty())));
        BodyFixture.await("all claims are closed", () -> memory.bytes() == 0);
    }
}
