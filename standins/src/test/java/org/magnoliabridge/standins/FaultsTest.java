package org.magnoliabridge.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;

/** Guards against a fault that is not the one asked for, which would make the tests that rely on it prove nothing. */
class FaultsTest extends StandInTest {
    private final BookingService bookings =
            closer.register(new BookingService(ANY_PORT, new BookingService.Settings(0, false)));

    @Test
    void failHasNoEffectAndEndsWithItsCount() throws Exception {
        fault("{\"mode\":\"fail\",\"match\":\"/bookings\",\"count\":1,\"status\":500}");
        assertThat(book(client), is(500));
        assertThat(executions(), is(0));
        assertThat(book(client), is(201));
    }

    @Test
    void stallGoesOnWhenTheRulesChange() throws Exception {
        fault("{\"mode\":\"stall\",\"match\":\"/bookings\"}");
        CompletableFuture<Integer> stalled = CompletableFuture.supplyAsync(() -> {
            try {
                return book(client);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        assertThrows(TimeoutException.class, () -> stalled.get(100, TimeUnit.MILLISECONDS));
        assertThat(executions(), is(0));
        fault("{\"mode\":\"none\"}");
        assertThat(stalled.get(LIMIT_MS, TimeUnit.MILLISECONDS), is(201));
    }

    @Test
    void loseAnswerTakesEffectWithoutAnAnswer() throws Exception {
        fault("{\"mode\":\"lose_answer\",\"match\":\"/bookings\",\"count\":1}");
        assertThrows(IOException.class, () -> book(client));
        assertThat(executions(), is(1));
    }

    @Test
    void silentConnectionNeverAnswersAgainWhileNewOnesWork() throws Exception {
        try (JsonClient impatient = new JsonClient(300)) {
            assertThat(book(impatient), is(201));
            fault("{\"mode\":\"silent\",\"match\":\"/bookings\"}");
            fault("{\"mode\":\"none\"}");
            assertThrows(IOException.class, () -> book(impatient));
        }
        try (JsonClient other = new JsonClient(LIMIT_MS)) {
            assertThat(book(other), is(201));
        }
    }

    @Test
    void rulesApplyByMethodAndPath() throws Exception {
        fault("[{\"mode\":\"fail\",\"match\":\"/bookings\",\"method\":\"GET\"},"
                + "{\"mode\":\"fail\",\"match\":\"/other\",\"status\":500}]");
        assertThat(book(client), is(201));
        assertThat(status(bookings, "GET", "/bookings", ""), is(503));
        assertThat(status(bookings, "GET", "/other", ""), is(500));
    }

    @Test
    void unknownModeIsRefused() throws Exception {
        assertThat(status(bookings, "POST", "/faults", "{\"mode\":\"explode\"}"), is(400));
    }

    @Test
    void loseAnswerBreaksAStreamOff() throws Exception {
        ModelEngine engine = closer.register(new ModelEngine(ANY_PORT, ModelEngine.Settings.defaults()));
        status(engine, "POST", "/faults", "{\"mode\":\"lose_answer\",\"match\":\"/v1/generate\"}");
        assertThrows(
                IOException.class,
                () -> status(
                        engine, "POST", "/v1/generate", "{\"request_id\":\"r\",\"prompt\":\"p\",\"max_tokens\":50}"));
        assertThat(
                json(engine, "/record")
                        .path("generations")
                        .get(0)
                        .path("delivered")
                        .asInt(),
                is(3));
    }

    @Test
    void silenceStopsAStreamInTheMiddle() throws Exception {
        ModelEngine engine = closer.register(new ModelEngine(ANY_PORT, ModelEngine.Settings.defaults()));
        try (JsonClient impatient = new JsonClient(LIMIT_MS)) {
            var stream = impatient.lines(
                    "POST",
                    engine.address(),
                    "/v1/generate",
                    Map.of(),
                    "{\"request_id\":\"r\",\"prompt\":\"p\",\"max_tokens\":100}");
            var lines = stream.body().iterator();
            lines.next();
            status(engine, "POST", "/faults", "{\"mode\":\"silent\",\"match\":\"/v1/generate\"}");
            CompletableFuture<Integer> rest = CompletableFuture.supplyAsync(() -> {
                int count = 0;
                while (lines.hasNext()) {
                    lines.next();
                    count++;
                }
                return count;
            });
            // 100 tokens take half a second at the default rate.
            assertThrows(TimeoutException.class, () -> rest.get(1_500, TimeUnit.MILLISECONDS));
        }
    }

    private void fault(String rule) throws IOException, InterruptedException {
        assertThat(status(bookings, "POST", "/faults", rule), is(200));
    }

    private int book(JsonClient by) throws IOException, InterruptedException {
        return by.call("POST", bookings.address(), "/bookings", Map.of(), "{\"bench\":1}")
                .status();
    }

    private int executions() throws IOException, InterruptedException {
        return json(bookings, "/record").size();
    }
}
