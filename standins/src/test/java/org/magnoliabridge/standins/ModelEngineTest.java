package org.magnoliabridge.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against an engine that is simpler to serve than a real one: no swaps in mid-stream, no waiting, no cache. */
class ModelEngineTest extends StandInTest {
    @Test
    void streamIsWholeAndStamped() throws Exception {
        ModelEngine engine = engine(16, 0, 0);
        List<JsonNode> events = generate(engine, "r1", "prompt", 5);
        assertThat(events.size(), is(6));
        for (int i = 0; i < 5; i++) {
            assertThat(events.get(i).path("index").asInt(), is(i));
            assertThat(events.get(i).path("weight_version").asInt(), is(1));
        }
        assertThat(events.get(5).path("finish").asText(), is("length"));
        assertThat(events.get(5).path("tokens").asInt(), is(5));
    }

    @Test
    void swapChangesTheVersionInMidGeneration() throws Exception {
        ModelEngine engine = engine(16, 0, 100);
        CompletableFuture<List<JsonNode>> stream = start(engine, "r1", 400);
        awaitRunning(engine, 1, 0);
        assertThat(order(engine, 3, 2), is(200));
        assertThat(order(engine, 2, 9), is(409));
        Set<Integer> versions = new HashSet<>();
        stream.get(LIMIT_MS, TimeUnit.MILLISECONDS)
                .forEach(event -> versions.add(event.path("weight_version").asInt()));
        assertThat(versions, is(Set.of(0, 1, 2)));
    }

    @Test
    void failedSwapKeepsTheOldVersion() throws Exception {
        ModelEngine engine = engine(16, 0, 0);
        status(engine, "POST", "/swaps", "{\"fail\":1}");
        order(engine, 1, 2);
        assertThat(
                generate(engine, "r1", "p", 20).get(19).path("weight_version").asInt(), is(1));
        order(engine, 1, 2);
        assertThat(
                generate(engine, "r2", "p", 20).get(19).path("weight_version").asInt(), is(2));
    }

    @Test
    void workBeyondTheBatchLimitWaits() throws Exception {
        ModelEngine engine = engine(1, 0, 0);
        CompletableFuture<List<JsonNode>> first = start(engine, "r1", 2_000);
        awaitRunning(engine, 1, 0);
        CompletableFuture<List<JsonNode>> second = start(engine, "r2", 2);
        awaitRunning(engine, 1, 1);
        assertThat(status(engine, "POST", "/v1/cancel", "{\"request_id\":\"r1\"}"), is(200));
        assertThat(first.get(LIMIT_MS, TimeUnit.MILLISECONDS).getLast().has("finish"), is(false));
        assertThat(second.get(LIMIT_MS, TimeUnit.MILLISECONDS).size(), is(3));
    }

    @Test
    void loadReportLags() throws Exception {
        ModelEngine engine = engine(16, 60_000, 0);
        generate(engine, "r1", "p".repeat(200), 3);
        assertThat(json(engine, "/v1/load").path("cached_prefixes").size(), is(0));
    }

    @Test
    void cachedPrefixShortensPrefillUntilItIsEvicted() {
        PrefixCache cache = new PrefixCache(3);
        String prompt = "a".repeat(3 * PrefixCache.BLOCK_CHARS);
        assertThat(cache.lookUpAndAdd(prompt), is(0));
        assertThat(cache.lookUpAndAdd(prompt + "b"), is(prompt.length()));
        cache.lookUpAndAdd("c".repeat(3 * PrefixCache.BLOCK_CHARS));
        assertThat(cache.lookUpAndAdd(prompt), is(0));
    }

    @Test
    void generationsStopByThemselvesAroundTheMean() {
        int tokens = 0;
        for (int i = 0; i < 200; i++) {
            Generation generation = new Generation("r" + i, "p", 1_000, 20, Json.object());
            while (!generation.produce(1)) {
                tokens++;
            }
            tokens++;
        }
        assertThat(tokens / 200, greaterThan(14));
        assertThat(tokens / 200, lessThan(26));
    }

    private ModelEngine engine(int batchLimit, long reportLagMs, long swapMs) {
        return closer.register(new ModelEngine(
                ANY_PORT, new ModelEngine.Settings(1, 100_000, 1_000, batchLimit, 100, 0, reportLagMs, swapMs, true)));
    }

    private int order(ModelEngine engine, long fencing, long version) throws IOException, InterruptedException {
        return status(
                engine,
                "POST",
                "/v1/orders",
                "{\"order_id\":\"o\",\"fencing\":" + fencing + ",\"action\":\"load_version\",\"version\":" + version
                        + "}");
    }

    private CompletableFuture<List<JsonNode>> start(ModelEngine engine, String id, int maxTokens) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return generate(engine, id, "p", maxTokens);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private List<JsonNode> generate(ModelEngine engine, String id, String prompt, int maxTokens)
            throws IOException, InterruptedException {
        String body = Json.text(
                Json.object().put("request_id", id).put("prompt", prompt).put("max_tokens", maxTokens));
        String text = client.call("POST", engine.address(), "/v1/generate", Map.of(), body)
                .text();
        assertThat(text.endsWith("data: [DONE]\n\n"), is(true));
        List<JsonNode> events = new ArrayList<>();
        for (String line : text.lines().filter(any -> any.startsWith("data: {")).toList()) {
            events.add(new JsonClient.Reply(200, line.substring("data: ".length()), Map.of()).json());
        }
        return events;
    }

    private void awaitRunning(ModelEngine engine, int running, int waiting) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MS);
        boolean reached = false;
        while (!reached && System.nanoTime() - end < 0) {
            JsonNode load = json(engine, "/v1/load");
            reached = load.path("running").asInt() == running
                    && load.path("waiting").asInt() == waiting;
        }
        assertThat(reached, is(true));
    }
}
