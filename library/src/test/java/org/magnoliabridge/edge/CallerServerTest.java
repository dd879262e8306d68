package org.magnoliabridge.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.arrayWithSize;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliabridge.calls.FakeBackEnd;
import org.magnoliabridge.calls.FakeEngine.Fault;
import org.magnoliabridge.ids.ServiceId;

class CallerServerTest {
    private final EdgeFixture f = new EdgeFixture();

    CallerServerTest() throws IOException {}

    @AfterEach
    void stop() throws IOException {
        f.calls.one.held.countDown();
        f.close();
    }

    @Test
    void answersAChatCompletionAndCountsItOnce() throws IOException, InterruptedException {
        String trace = "00-" + "c".repeat(32) + "-" + "d".repeat(16) + "-01";
        HttpResponse<String> answer = f.post(
                f.keyed(EdgeFixture.CHAT).header("traceparent", trace).header("X-Request-Id", "mine"),
                EdgeFixture.chat(false));
        assertThat(answer.statusCode(), is(200));
        assertThat(answer.body(), containsString("\"finish_reason\":\"length\""));
        assertThat(answer.body(), containsString("\"weight_versions\":[{\"from\":0,\"to\":5,\"version\":7}]"));
        assertThat(answer.headers().firstValue("x-request-id").orElseThrow(), is("mine"));
        assertTrue(answer.headers().firstValue("traceparent").isPresent());
        assertThat(f.server.gate().awaitIdle(5_000), is(0));
        assertThat(f.usage, contains(new UsageSink.Delivery(EdgeFixture.TEAM, new ServiceId("coachgen"), 1, 3, 5)));
    }

    /** Guards against a drain that hands over the usage counts between an answer and the count of its usage. */
    @Test
    void aRequestIsOpenUntilItsUsageIsCounted() throws IOException, InterruptedException {
        CountDownLatch counting = new CountDownLatch(1);
        f.usageSink = delivery -> {
            try {
                counting.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            f.usage.add(delivery);
        };
        assertThat(f.post(f.keyed(EdgeFixture.CHAT), EdgeFixture.chat(false)).statusCode(), is(200));
        assertThat(f.server.gate().awaitIdle(200), is(1));
        counting.countDown();
        assertThat(f.server.gate().awaitIdle(5_000), is(0));
        assertThat(f.usage, hasSize(1));
    }

    @Test
    void streamsAChatCompletion() throws IOException, InterruptedException {
        HttpResponse<String> answer = f.post(f.keyed(EdgeFixture.CHAT), EdgeFixture.chat(true));
        assertThat(answer.body().split("\n\n"), is(arrayWithSize(7)));
        assertThat(answer.body(), endsWith("data: [DONE]\n\n"));
        assertThat(answer.body(), containsString("\"weight_versions\""));
    }

    /** Guards I9: a stream that can't be completed ends with an error event and never with {@code [DONE]}. */
    @Test
    void aBrokenStreamEndsWithAnErrorEvent() throws IOException, InterruptedException {
        f.calls.one.fault = Fault.CLOSE;
        f.calls.two.fault = Fault.CLOSE;
        String body = f.post(f.keyed(EdgeFixture.CHAT), EdgeFixture.chat(true)).body();
        assertThat(body, containsString("\"error\":{\"type\":"));
        assertThat(body, not(containsString("[DONE]")));
        assertThat(f.server.gate().awaitIdle(5_000), is(0));
        assertThat(f.usage, is(empty()));
    }

    /** Guards I6: a stream that is open when its key is withdrawn ends with an error event, and new work is refused. */
    @Test
    void aWithdrawnKeyEndsItsStreams() throws IOException, InterruptedException {
        f.calls.one.fault = Fault.HOLD;
        try (Socket socket = f.open(true)) {
            BufferedReader reader = reader(socket);
            readUntil(reader, "\" 4\"");
            f.config = f.snapshot(Set.of(f.key.id()), Long.MAX_VALUE);
            f.server.activeCalls().cancelWithInactiveKey(f.config.keys());
            assertThat(readUntil(reader, "error"), containsString("unauthenticated"));
        }
        assertTrue(f.calls.one.cancelled.await(5, TimeUnit.SECONDS));
        HttpResponse<String> next = f.post(f.keyed(EdgeFixture.CHAT), EdgeFixture.chat(false));
        assertThat(next.statusCode(), is(401));
    }

    /** Guards against an engine that continues a generation whose caller disconnected while no tokens arrive. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void cancelsAtTheEngineWhenTheCallerCloses(boolean stream) throws IOException, InterruptedException {
        f.calls.one.fault = Fault.HOLD;
        try (Socket socket = f.open(stream)) {
            while (f.calls.one.generations().isEmpty()) {
                Thread.onSpinWait();
            }
            assertTrue(socket.isConnected());
        }
        assertTrue(f.calls.one.cancelled.await(5, TimeUnit.SECONDS));
        assertThat(f.server.gate().awaitIdle(5_000), is(0));
        assertThat(f.calls.two.generations(), is(empty()));
        assertThat(f.usage, is(empty()));
    }

    /** Guards I9: a request that arrives while another one runs on the same connection is kept and answered. */
    @Test
    void answersPipelinedRequestsInOrder() throws IOException, InterruptedException {
        CountDownLatch hold = new CountDownLatch(1);
        f.script = (request, out) -> {
            hold.await();
            return FakeBackEnd.respond(out, 200, "text/plain", request.path() + "\n");
        };
        try (Socket socket =
                new Socket(f.server.address().getAddress(), f.server.address().getPort())) {
            for (int i = 1; i <= 3; i++) {
                String head = "GET /services/benchdesk/open/" + i + " HTTP/1.1\r\nHost: a\r\n\r\n";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
                while (f.bookings.requests("/open/1").isEmpty()) {
                    Thread.onSpinWait();
                }
            }
            hold.countDown();
            BufferedReader reader = reader(socket);
            readUntil(reader, "/open/1");
            readUntil(reader, "/open/2");
            readUntil(reader, "/open/3");
        }
    }

    /** Guards I5: no back end receives the key, wherever the caller puts it. */
    @ParameterizedTest
    @ValueSource(strings = {"bearer", "x-api-key", "cookie", "query", "body", "other-header"})
    void noBackEndSeesTheKey(String place) throws IOException, InterruptedException {
        String secret = f.key.reveal();
        String query = place.equals("query") ? "?api_key=" + secret + "&bench=1" : "?bench=1";
        String field = place.equals("body") ? "\"api_key\":\"" + secret + "\"," : "";
        for (String path : new String[] {"/services/benchdesk/bookings" + query, EdgeFixture.CHAT + query}) {
            HttpRequest.Builder request = f.request(path);
            switch (place) {
                case "bearer" -> request.header("Authorization", "Bearer " + secret);
                case "x-api-key" -> request.header("X-Api-Key", secret);
                case "cookie" -> request.header("Cookie", "a=b; api_key=" + secret);
                case "other-header" ->
                    request.header("X-Api-Key", secret)
                            .header("Accept-Language", secret)
                            .header("X-Request-Id", secret);
                default -> {}
            }
            String body = "{" + field + EdgeFixture.chat(false).substring(1);
            assertThat(path, f.post(request, body).statusCode(), is(200));
        }
        assertThat(f.backEndBytes(), containsString("bench=1"));
        assertThat(f.backEndBytes(), not(containsString(secret)));
        assertThat(f.backEndBytes(), not(containsString("api_key")));
    }

    /** Guards I4 and I10: each refusal says "not run", and no back end received the request. */
    @ParameterizedTest
    @CsvSource({
        "none,/v1/chat/completions,401,unauthenticated",
        "stranger,/v1/chat/completions,403,forbidden",
        "none,/services/benchdesk/bookings,401,unauthenticated",
        "stranger,/services/benchdesk/bookings,403,forbidden",
        "key,/services/benchdesk/none,404,not_found",
        "key,/services/coachgen/bookings,404,not_found",
        "key,/services/benchdesk/open/../bookings,400,malformed_request",
        "none,/services/benchdesk/open/%2e%2e/bookings,400,malformed_request",
        "none,/services/benchdesk/open;x/bookings,400,malformed_request",
        "key,/other,404,not_found"
    })
    void refusesBeforeAnythingRuns(String who, String path, int status, String type)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = f.request(path);
        if (!who.equals("none")) {
            String secret = (who.equals("key") ? f.key : f.stranger).reveal();
            request.header("Authorization", "Bearer " + secret);
        }
        HttpResponse<String> answer = f.post(request, EdgeFixture.chat(false));
        assertThat(answer.statusCode(), is(status));
        assertThat(answer.body(), containsString("\"type\":\"" + type + "\""));
        assertThat(answer.body(), containsString("\"run\":\"not_run\""));
        assertThat(f.backEndBytes(), is(""));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "{\"model\":\"coachgen\"}",
                "{\"model\":\"coachgen\",\"messages\":[]}",
                "{\"model\":\"coachgen\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}],\"surprise\":1}",
                "{\"model\":\"coachgen\",\"messages\":[{\"role\":\"boss\",\"content\":\"a\"}]}",
                "{\"model\":\"coachgen\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}],\"max_tokens\":0}",
                "{\"model\":\"a\",\"model\":\"coachgen\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}"
            })
    void refusesAMalformedBody(String body) throws IOException, InterruptedException {
        HttpResponse<String> answer = f.post(f.keyed(EdgeFixture.CHAT), body);
        assertThat(answer.statusCode(), is(400));
        assertThat(f.backEndBytes(), is(""));
    }

    @Test
    void refusesABodyOverTheLimit() throws IOException, InterruptedException {
        String large = "x".repeat(EdgeFixture.MAX_BODY_BYTES + 1);
        assertThat(f.post(f.keyed(EdgeFixture.CHAT), large).statusCode(), is(413));
        HttpRequest.Builder chunked = f.keyed(EdgeFixture.CHAT)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofInputStream(
                        () -> new ByteArrayInputStream(large.getBytes(StandardCharsets.UTF_8))));
        assertThat(f.send(chunked).statusCode(), is(413));
        assertThat(f.backEndBytes(), is(""));
    }

    @Test
    void refusesAnotherMediaTypeAndAWrongDeadline() throws IOException, InterruptedException {
        HttpRequest.Builder text = f.keyed(EdgeFixture.CHAT)
                .header("Content-Type", "text/plain")
                .POST(HttpRequest.BodyPublishers.ofString(EdgeFixture.chat(false)));
        assertThat(f.send(text).statusCode(), is(415));
        HttpRequest.Builder late = f.keyed(EdgeFixture.CHAT).header("X-Deadline-Ms", "soon");
        assertThat(f.post(late, EdgeFixture.chat(false)).statusCode(), is(400));
    }

    /** Guards I6: a node that may have missed a withdrawal refuses requests with a key; open routes still respond. */
    @Test
    void refusesRequestsWithAKeyWhenTheConfigurationIsStale() throws IOException, InterruptedException {
        f.config = f.snapshot(Set.of(), Long.MIN_VALUE);
        HttpResponse<String> answer = f.post(f.keyed(EdgeFixture.CHAT), EdgeFixture.chat(false));
        assertThat(answer.statusCode(), is(503));
        assertThat(answer.body(), containsString("stale_configuration"));
        assertThat(f.send(f.request("/services/benchdesk/open")).statusCode(), is(200));
        assertThat(f.server.gate().awaitIdle(5_000), is(0));
        assertThat(f.usage, is(empty()));
    }

    /** Guards I11: a call whose answer is lost ran once and is not repeated. */
    @Test
    void aLostAnswerIsNotRepeated() throws IOException, InterruptedException {
        f.script = (request, out) -> false;
        HttpResponse<String> answer = f.post(f.keyed("/services/benchdesk/bookings"), "{}");
        assertThat(answer.statusCode(), is(504));
        assertThat(answer.body(), containsString("\"run\":\"unknown\""));
        assertThat(f.bookings.requests("/bookings"), hasSize(1));
    }

    @Test
    void callsWithAnIdempotencyKeyGoToTheLedger() throws IOException, InterruptedException {
        f.post(f.keyed("/services/benchdesk/bookings").header("Idempotency-Key", "b1"), "{}");
        assertThat(f.idempotent, contains("anvil b1"));
        assertThat(f.backEndBytes(), is(""));
    }

    /** Guards I13: a drain aborts no open request, and requests that it refuses did not run. */
    @Test
    void aDrainAbortsNoOpenRequest() throws IOException, InterruptedException {
        CountDownLatch hold = new CountDownLatch(1);
        f.script = (request, out) -> {
            hold.await();
            return FakeBackEnd.respond(out, 200, "application/json", "{\"booked\":1}");
        };
        CompletableFuture<HttpResponse<String>> open = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> {
            try {
                open.complete(
                        f.send(f.keyed("/services/benchdesk/bookings/slow").GET()));
            } catch (IOException | InterruptedException e) {
                open.completeExceptionally(e);
            }
        });
        while (f.bookings.requests("/bookings/slow").isEmpty()) {
            Thread.onSpinWait();
        }
        f.calls.one.held.countDown();
        f.server.gate().drain();
        assertThat(f.server.gate().open(), is(1));
        HttpResponse<String> refused =
                f.send(f.keyed("/services/benchdesk/bookings/late").GET());
        assertThat(refused.statusCode(), is(503));
        assertThat(refused.body(), containsString("\"type\":\"draining\""));
        assertThat(f.send(f.request("/healthz")).statusCode(), is(503));
        hold.countDown();
        assertThat(f.server.gate().awaitIdle(5_000), is(0));
        assertThat(open.join().statusCode(), is(200));
        assertThat(f.server.gate().state(), is(DrainGate.State.CLOSED));
        assertThat(f.bookings.recorded(), not(containsString("late")));
    }

    @Test
    void servesRolloutsAndAddresses() throws IOException, InterruptedException {
        HttpResponse<String> opened = f.post(
                f.keyed("/v1/rollouts/run1/steps"),
                "{\"service\":\"coachgen\",\"step\":3,\"api_key\":\"" + f.key.reveal() + "\"}");
        assertThat(opened.body(), is("{\"step\":3}"));
        HttpResponse<String> groups =
                f.send(f.keyed("/v1/rollouts/run1/steps/3/groups?cursor=4&trainer_version=9&wait_ms=1"));
        assertThat(groups.body(), is("{\"seq\":1}\n{\"end\":true,\"cursor\":5,\"complete\":true}\n"));
        f.post(f.keyed("/v1/rollouts/run1/steps/3/ack"), "{\"cursor\":5,\"trainer_version\":9}");
        assertThat(f.rollouts, contains("anvil/run1 {\"service\":\"coachgen\",\"step\":3}", "run1 3 5 9"));
        HttpResponse<String> addresses = f.send(f.request("/v1/addresses?dc=trent"));
        assertThat(addresses.body(), startsWith("{\"addresses\":[{\"address\":\"127.0.0.1:1\""));
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    private static String readUntil(BufferedReader reader, String text) throws IOException {
        StringBuilder all = new StringBuilder();
        String line = reader.readLine();
        while (line != null) {
            all.append(line).append('\n');
            if (line.contains(text)) {
                return all.toString();
            }
            line = reader.readLine();
        }
        throw new IOException("the stream ended without " + text + ": " + all);
    }
}
