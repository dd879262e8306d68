package org.magnoliabridge.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.iterableWithSize;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hamcrest.Matcher;
import org.junit.jupiter.api.Test;

/** Guards against stand-ins that are kinder than the platform: no conflicts, no lag, no limits, no fencing. */
class PlatformStandInsTest extends StandInTest {
    private static final Map<String, String> CREATE = Map.of("If-None-Match", "*");

    @Test
    void objectsAreWrittenOnlyOnTheExpectedVersion() throws Exception {
        ObjectApi objects = closer.register(new ObjectApi(ANY_PORT, ObjectApi.Settings.defaults()));
        JsonClient.Reply created = put(objects, "/objects/a/b", CREATE);
        assertThat(created.status(), is(200));
        assertThat(put(objects, "/objects/a/b", CREATE).status(), is(412));
        Map<String, String> match = Map.of("If-Match", created.headers().get("etag"));
        assertThat(put(objects, "/objects/a/b", match).status(), is(200));
        assertThat(put(objects, "/objects/a/b", match).status(), is(412));
        assertThat(put(objects, "/objects/a/c", match).status(), is(412));
        assertThat(json(objects, "/list?prefix=a").path("objects"), hasSizeOf(1));
        assertThat(json(objects, "/counts").path("writes").asInt(), is(5));
        assertThat(json(objects, "/counts").path("conflicts").asInt(), is(3));
    }

    @Test
    void watchSeesLaterChangesAndRefusesLostRevisions() throws Exception {
        ObjectApi objects = closer.register(new ObjectApi(ANY_PORT, new ObjectApi.Settings(0, 2)));
        CompletableFuture<JsonNode> watch = CompletableFuture.supplyAsync(() -> {
            try {
                return json(objects, "/watch?prefix=a&since=0&wait_ms=9000");
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        while (json(objects, "/counts").path("open_watches").asInt() == 0) {
            Thread.sleep(10);
        }
        put(objects, "/objects/b", CREATE);
        put(objects, "/objects/a", CREATE);
        JsonNode events = watch.get(LIMIT_MS, TimeUnit.MILLISECONDS).path("events");
        assertThat(events, hasSizeOf(1));
        assertThat(events.get(0).path("key").asText(), is("a"));
        put(objects, "/objects/c", CREATE);
        assertThat(client.get(objects.address(), "/watch?since=0&wait_ms=0").status(), is(410));
        assertThat(json(objects, "/watch?since=3&wait_ms=0").path("events"), hasSizeOf(0));
    }

    @Test
    void slowModeDelaysEveryCall() throws Exception {
        ObjectApi objects = closer.register(new ObjectApi(ANY_PORT, ObjectApi.Settings.defaults()));
        status(objects, "POST", "/slow", "{\"delay_ms\":300}");
        long start = System.nanoTime();
        json(objects, "/list");
        assertThat(System.nanoTime() - start, greaterThan(300_000_000L));
    }

    @Test
    void staleFencingTokenIsRefusedUnlessIgnored() throws Exception {
        for (boolean checks : new boolean[] {true, false}) {
            OrderInterface orders = orders(checks, 0);
            assertThat(order(orders, "e1", 7, "running"), is(200));
            assertThat(order(orders, "e1", 6, "stopped"), is(checks ? 409 : 200));
            assertThat(json(orders, "/record"), hasSizeOf(2));
        }
    }

    @Test
    void orderedEndpointShowsLaterAndASlotIsUsedOnce() throws Exception {
        InstanceList list = closer.register(new InstanceList(ANY_PORT, 100));
        OrderInterface orders = closer.register(new OrderInterface(
                ANY_PORT,
                list.address(),
                new OrderInterface.Settings(
                        true,
                        100,
                        100,
                        List.of(new OrderInterface.Slot("s", "d", "standard", "127.0.0.1:1", Optional.empty())))));
        assertThat(order(orders, "e1", 1, "running"), is(200));
        assertThat(order(orders, "e2", 1, "running"), is(422));
        assertThat(json(list, "/instances"), hasSizeOf(0));
        awaitStates(list, "[\"live\"]");
        assertThat(order(orders, "e1", 1, "stopped"), is(200));
        awaitStates(list, "[\"leaving\"]");
        awaitStates(list, "[]");
        assertThat(order(orders, "e2", 1, "running"), is(200));
    }

    @Test
    void usageWindowKeepsItsFirstFigures() throws Exception {
        UsageInterface usage = closer.register(new UsageInterface(ANY_PORT));
        assertThat(status(usage, "PUT", "/usage/w1", "{\"a\":1}"), is(200));
        assertThat(status(usage, "PUT", "/usage/w1", "{\"a\":1}"), is(200));
        assertThat(status(usage, "PUT", "/usage/w1", "{\"a\":2}"), is(409));
        assertThat(json(usage, "/record"), hasSizeOf(3));
    }

    @Test
    void weightLoadsAreLimited() throws Exception {
        WeightStore weights = closer.register(new WeightStore(ANY_PORT, new WeightStore.Settings(0.01, 1)));
        assertThat(status(weights, "PUT", "/weights/s", "{\"version\":4}"), is(200));
        assertThat(json(weights, "/weights/s").path("version").asInt(), is(4));
        assertThat(status(weights, "POST", "/weights/s/4/loads", ""), is(200));
        JsonClient.Reply refused = client.call("POST", weights.address(), "/weights/s/4/loads", Map.of(), "");
        assertThat(refused.status(), is(429));
        assertThat(Integer.parseInt(refused.headers().get("retry-after")) > 90, is(true));
    }

    @Test
    void bookingsAreNotIdempotentAndOutcomesAreFoundByKey() throws Exception {
        BookingService bookings = closer.register(new BookingService(ANY_PORT, new BookingService.Settings(0, true)));
        Map<String, String> key = Map.of("Idempotency-Key", "k1");
        assertThat(client.get(bookings.address(), "/bookings/outcomes/k1").status(), is(404));
        client.call("POST", bookings.address(), "/bookings", key, "{}");
        client.call("POST", bookings.address(), "/bookings", key, "{}");
        assertThat(json(bookings, "/bookings").path("bookings").asInt(), is(2));
        assertThat(json(bookings, "/bookings/outcomes/k1").path("booking").asInt(), is(1));
        assertThat(status(bookings, "POST", "/drain", "{\"draining\":true}"), is(200));
        assertThat(status(bookings, "POST", "/bookings", "{}"), is(503));
        assertThat(json(bookings, "/record"), hasSizeOf(3));
    }

    @Test
    void scoreIsRepeatable() throws Exception {
        ScoringService scoring = closer.register(new ScoringService(ANY_PORT, 0));
        String body = "{\"prompt\":\"p\",\"text\":\"t\"}";
        double score = client.call("POST", scoring.address(), "/score", Map.of(), body)
                .json()
                .path("score")
                .asDouble(-1);
        assertThat(score, is(ScoringService.score("p", "t")));
    }

    @Test
    void mainStartsEveryStandIn() throws Exception {
        for (String name :
                List.of("object-api", "usage", "instances", "weights", "scoring", "engine", "bookings", "orders")) {
            String[] args = name.equals("orders")
                    ? new String[] {name, "--instances", "127.0.0.1:1", "--slot", "s,d,standard,127.0.0.1:2,e1"}
                    : new String[] {name, "--port", "0"};
            try (StandIn standIn = StandinMain.start(StandinMain.parser().parseArgs(args))) {
                assertThat(name, status(standIn, "POST", "/faults", "{\"mode\":\"none\"}"), is(200));
            }
        }
    }

    private OrderInterface orders(boolean checksFencing, long delayMs) {
        InstanceList list = closer.register(new InstanceList(ANY_PORT, 0));
        OrderInterface.Slot slot = new OrderInterface.Slot("s", "d", "standard", "127.0.0.1:1", Optional.of("e1"));
        return closer.register(new OrderInterface(
                ANY_PORT, list.address(), new OrderInterface.Settings(checksFencing, delayMs, delayMs, List.of(slot))));
    }

    private int order(OrderInterface orders, String id, long fencing, String desired)
            throws IOException, InterruptedException {
        return status(
                orders,
                "PUT",
                "/endpoints/" + id,
                "{\"order_id\":\"o\",\"fencing\":" + fencing
                        + ",\"dc\":\"d\",\"service\":\"s\",\"kind\":\"standard\",\"desired\":\"" + desired + "\"}");
    }

    private void awaitStates(InstanceList list, String states) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MS);
        String seen = "";
        while (!seen.equals(states) && System.nanoTime() - end < 0) {
            seen = Json.text(Json.array(json(list, "/instances").findValues("state")));
        }
        assertThat(seen, is(states));
    }

    private JsonClient.Reply put(ObjectApi objects, String path, Map<String, String> headers)
            throws IOException, InterruptedException {
        return client.call("PUT", objects.address(), path, headers, "value");
    }

    private static Matcher<Iterable<JsonNode>> hasSizeOf(int size) {
        return iterableWithSize(size);
    }
}
