package org.magnoliabridge.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCall;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpFailure;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.ids.RequestId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;

class StreamCallerTest {
    private final CallFixture fixture = new CallFixture();
    private final List<String> received = new CopyOnWriteArrayList<>();
    private final CountDownLatch firstEvent = new CountDownLatch(1);
    private volatile FakeBackEnd.Script firstScript = (request, out) -> false;
    private volatile FakeBackEnd.Script secondScript = (request, out) -> false;
    private final FakeBackEnd one = new FakeBackEnd((request, out) -> firstScript.answer(request, out));
    private final FakeBackEnd two = new FakeBackEnd((request, out) -> secondScript.answer(request, out));
    private final StreamCaller caller = new StreamCaller(new DirectStreamClient(fixture.http), fixture.dependencies);

    StreamCallerTest() throws IOException {
        fixture.endpoints.endpoints.clear();
        fixture.endpoints.add("one", one.address()).add("two", two.address());
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
        one.close();
        two.close();
    }

    /** Guards against events that are buffered until the end of their stream. */
    @Test
    void deliversAnEventBeforeTheNextOneIsSent() throws CallException {
        firstScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            chunk(out, "id: 1\r\ndata: a\r\n\r\n");
            firstEvent.await();
            chunk(out, "id: 2\ndata: b\n\n");
            return FakeBackEnd.endStream(out);
        };
        assertThat(call(false).isEmpty(), is(true));
        assertThat("bytes as received", received, contains("200", "id: 1\r\ndata: a\r\n\r\n", "id: 2\ndata: b\n\n"));
    }

    /** Guards against a lost, repeated or truncated event where another endpoint resumes a stream. */
    @Test
    void resumesABrokenStreamAfterItsLastCompleteEvent() throws CallException {
        firstScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            chunk(out, "id: 1\ndata: a\n\nid: 2\nda");
            return false;
        };
        secondScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            chunk(out, "id: 2\ndata: b\n\n");
            return FakeBackEnd.endStream(out);
        };
        assertThat(call(true).isEmpty(), is(true));
        assertThat(received, contains("200", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"));
        assertThat(two.requests("/").getFirst().head(), containsString("last-event-id: 1"));
    }

    /** Guards against a second run of a non-idempotent request. */
    @Test
    void failsABrokenStreamOfANonIdempotentRequest() {
        firstScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            chunk(out, "id: 1\ndata: a\n\n");
            return false;
        };
        CallException failed = assertThrows(CallException.class, () -> call(false));
        assertThat(failed.executionStatus(), is(ExecutionStatus.RAN));
        assertThat(two.requests("/"), hasSize(0));
    }

    /** Guards against a stream that appears complete although events are missing. */
    @Test
    void failsTheAttemptIfAnEventIsMissing() throws CallException {
        firstScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            chunk(out, "id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
            return FakeBackEnd.endStream(out);
        };
        CallException failed = assertThrows(CallException.class, () -> call(true));
        assertThat(failed.failure(), is(instanceOf(Failure.IncompleteAnswer.class)));
        assertThat(received, contains("200", "id: 1\ndata: a\n\n"));
    }

    /** Guards against treating a stream that ends within an event as complete. */
    @Test
    void rejectsAStreamThatEndsWithinAnEvent() {
        firstScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            chunk(out, "id: 1\ndata: a\n\nid: 2\ndata: b\n");
            return FakeBackEnd.endStream(out);
        };
        assertThrows(CallException.class, () -> call(false));
        assertThat(received, hasSize(2));
    }

    /** Guards against a caller that gets the head of a stream, and then nothing, from an endpoint that breaks off. */
    @Test
    void beginsNoStreamBeforeTheFirstEvent() {
        firstScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            chunk(out, "id: 1\n");
            return false;
        };
        CallException failed = assertThrows(CallException.class, () -> call(false));
        assertThat(failed.executionStatus(), is(ExecutionStatus.RAN));
        assertThat(received, hasSize(0));
        assertThat(two.requests("/"), hasSize(0));
    }

    /** Guards against giving up a stream of which nothing was delivered although another endpoint can run it. */
    @Test
    void restartsAStreamThatBreaksBeforeItsFirstEvent() throws CallException {
        firstScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            return false;
        };
        secondScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            chunk(out, "id: 1\ndata: a\n\n");
            return FakeBackEnd.endStream(out);
        };
        assertThat(call(true).isEmpty(), is(true));
        assertThat(received, contains("200", "id: 1\ndata: a\n\n"));
        assertThat(two.requests("/").getFirst().head(), not(containsString("last-event-id")));
    }

    /** Guards against a complete stream without events that is taken for a broken one. */
    @Test
    void completesAStreamWithoutEvents() throws CallException {
        firstScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            return FakeBackEnd.endStream(out);
        };
        assertThat(call(false).isEmpty(), is(true));
        assertThat(received, contains("200"));
    }

    /** Guards against counting a refusal as a run, and against replacing an endpoint's error response by a failure. */
    @Test
    void retriesARefusedRequestAndPassesOnAnErrorResponse() throws CallException {
        firstScript = (request, out) -> FakeBackEnd.respond(
                out, 503, "application/json", "{\"error\":{\"type\":\"full\",\"run\":\"not_run\"}}");
        secondScript = (request, out) -> FakeBackEnd.respond(out, 500, "application/json", "{\"own\":1}");
        Optional<PlainAnswer> answer = call(false);
        assertThat(answer.orElseThrow().status(), is(500));
        assertThat(new String(answer.get().body(), StandardCharsets.UTF_8), is("{\"own\":1}"));
        assertThat(received, hasSize(0));
    }

    /** Guards against ending a stream that can't be resumed because the endpoint sends nothing for a while. */
    @Test
    void doesNotTimeOutAPausedStreamOfANonIdempotentRequest() throws CallException {
        firstScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            chunk(out, "id: 1\ndata: a\n\n");
            // Longer than the fixture's limit between two reads (400 ms).
            Thread.sleep(600);
            chunk(out, "id: 2\ndata: b\n\n");
            return FakeBackEnd.endStream(out);
        };
        assertThat(call(false).isEmpty(), is(true));
        assertThat(received, hasSize(3));
    }

    /** Guards against a stalled stream that is kept because its endpoint sends a byte now and then. */
    @Test
    void resumesAStreamWhoseEndpointSendsBytesButNoEvents() throws CallException {
        firstScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            chunk(out, "id: 1\ndata: a\n\n");
            // The fixture's limit is 1 s; the request's deadline is 5 s.
            for (int i = 0; i < 100; i++) {
                chunk(out, ":\n");
                Thread.sleep(100);
            }
            return FakeBackEnd.endStream(out);
        };
        secondScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            chunk(out, "id: 2\ndata: b\n\n");
            return FakeBackEnd.endStream(out);
        };
        assertThat(call(true).isEmpty(), is(true));
        assertThat(received, contains("200", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"));
        assertThat(two.requests("/"), hasSize(1));
    }

    /** Guards against a slow but sound stream that is moved although each of its events comes in time. */
    @Test
    void keepsASlowStreamWhoseEventsComeInTime() throws CallException {
        firstScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            for (int i = 1; i <= 6; i++) {
                chunk(out, "id: " + i + "\n");
                Thread.sleep(300);
                chunk(out, "data: a\n\n");
                Thread.sleep(300);
            }
            return FakeBackEnd.endStream(out);
        };
        assertThat(call(true).isEmpty(), is(true));
        assertThat(received, hasSize(7));
        assertThat(two.requests("/"), hasSize(0));
    }

    /** Guards against resuming a stream at another endpoint after the caller has disconnected. */
    @Test
    void endsTheCallWhenTheCallerDisconnects() {
        firstScript = (request, out) -> {
            FakeBackEnd.startStream(out);
            chunk(out, "id: 1\ndata: a\n\n");
            firstEvent.await();
            return true;
        };
        Cancellation cancellation = new Cancellation();
        Thread.ofVirtual().start(() -> {
            try {
                firstEvent.await();
                cancellation.cancel(Cancellation.Reason.CALLER_GONE);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        CallException failed = assertThrows(CallException.class, () -> call(true, cancellation));
        assertThat(failed.failure(), is(instanceOf(Failure.CallerGone.class)));
        assertThat(two.requests("/"), hasSize(0));
    }

    private Optional<PlainAnswer> call(boolean idempotent) throws CallException {
        return call(idempotent, new Cancellation());
    }

    private Optional<PlainAnswer> call(boolean idempotent, Cancellation cancellation) throws CallException {
        PlainRequest request = new PlainRequest(
                new ServiceId("chat"),
                new TeamId("oak"),
                "POST",
                "/chat",
                Map.of(),
                new byte[] {1},
                idempotent,
                3,
                fixture.deadline(),
                new RequestId("r1"),
                CallFixture.noTrace());
        return caller.call(request, cancellation, new StreamCaller.Receiver() {
            @Override
            public void begin(PlainAnswer head) {
                received.add(Integer.toString(head.status()));
            }

            @Override
            public void event(byte[] bytes) {
                received.add(new String(bytes, StandardCharsets.UTF_8));
                firstEvent.countDown();
            }
        });
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Sends requests to back ends without any platform-specific headers. */
    private static final class DirectStreamClient implements StreamServiceClient {
        private final HttpCaller http;
        private final PlainServiceAdapter plain;

        DirectStreamClient(HttpCaller http) {
            this.http = http;
            this.plain = new PlainServiceAdapter(http);
        }

        @Override
        public HttpAnswer stream(
                PlainRequest request,
                EndpointSource.Slot slot,
                HttpLimits limits,
                long lastEventId,
                HttpCaller.PieceReceiver pieces)
                throws HttpFailure {
            HttpCall call = HttpCall.of(request.method(), slot.address(), request.path())
                    .withBody(request.body())
                    .withLimits(limits)
                    .onFreshConnection();
            return http.relay(
                    lastEventId > 0 ? call.withHeader("Last-Event-Id", Long.toString(lastEventId)) : call, pieces);
        }

        @Override
        public HttpAnswer send(PlainRequest request, EndpointSource.Slot slot, HttpLimits limits, TraceContext trace)
                throws HttpFailure {
            return plain.send(request, slot, limits, trace);
        }

        @Override
        public BackEndRefusal refusal(HttpAnswer answer) {
            return plain.refusal(answer);
        }

        @Override
        public PlainAnswer answer(HttpAnswer answer) {
            return plain.answer(answer);
        }
    }
}
