package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Stand-in for a model engine with continuous batching.
 *
 * <p>In each step every prefilled generation of the batch gets one token, stamped with the version loaded at that
 * moment, and the prefill budget goes to the others in order of arrival. An ordered version is loaded after the swap
 * time while generations go on, so their versions change in the middle. Beyond the interface of section 4 there are
 * {@code GET /record} (generations and orders), {@code POST /swaps} ({@code {"fail":n}}: the next n swaps leave the old
 * version) and {@code POST /drain} ({@code {"draining":true}}: new work gets 503 {@code draining}).
 */
public final class ModelEngine implements StandIn {
    /**
     * Settings.
     *
     * @param version the version loaded at the start
     * @param prefillTokensPerSecond prompt tokens of the whole batch
     * @param decodeTokensPerSecond tokens of each generation
     * @param batchLimit generations that run at once; others wait
     * @param cacheBlocks blocks of {@value PrefixCache#BLOCK_CHARS} characters the prefix cache holds
     * @param meanTokens mean length of a generation before it stops by itself; 0 means that none does
     * @param reportLagMs how old a load report may be
     * @param swapMs from an order to the new version
     * @param checksFencing whether an order with an old fencing token is refused
     */
    public record Settings(
            long version,
            int prefillTokensPerSecond,
            int decodeTokensPerSecond,
            int batchLimit,
            int cacheBlocks,
            int meanTokens,
            long reportLagMs,
            long swapMs,
            boolean checksFencing) {
        public Settings {
            if (prefillTokensPerSecond < 1 || decodeTokensPerSecond < 1 || batchLimit < 1) {
                throw new IllegalArgumentException("rates and batch limit must be at least 1");
            }
        }

        /** Returns settings of a quick engine at version 1. */
        public static Settings defaults() {
            return new Settings(1, 20_000, 200, 16, 1_000, 0, 500, 500, true);
        }
    }

    private final Settings settings;
    private final PrefixCache cache;
    private final Deque<Generation> waiting = new ArrayDeque<>();
    private final List<Generation> running = new ArrayList<>();
    private final List<Generation> all = new ArrayList<>();
    private final List<ObjectNode> orders = new ArrayList<>();
    private final Thread stepper;
    private long version;
    private long swapTo;
    private long swapAtNanos;
    private int failingSwaps;
    private long highestFencing;
    private boolean draining;
    private ObjectNode report;
    private long reportedAtNanos;
    private final StandInServer server;

    /** Starts it; port 0 lets the system choose. */
    public ModelEngine(InetSocketAddress listen, Settings settings) {
        this.settings = settings;
        cache = new PrefixCache(settings.cacheBlocks());
        version = settings.version();
        report = load();
        reportedAtNanos = System.nanoTime();
        stepper = Thread.ofPlatform().name("engine-steps").daemon(true).unstarted(this::run);
        server = new StandInServer(listen, this::answer);
        stepper.start();
    }

    @Override
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void close() {
        stepper.interrupt();
        server.close();
    }

    private Answer answer(Call call) throws BadCallException {
        return switch (call.method() + " " + call.path()) {
            case "POST /v1/generate" -> generate(call);
            case "POST /v1/cancel" -> cancel(Json.text(call.json(), "request_id"));
            case "GET /v1/load" -> reportedLoad();
            case "POST /v1/orders" -> order(call.json());
            case "POST /swaps" -> failSwaps(Json.number(call.json(), "fail"));
            case "POST /drain" -> drain(call.json().path("draining").asBoolean(true));
            case "GET /record" -> record();
            default -> Answer.error(404, "no such route");
        };
    }

    private synchronized Answer generate(Call call) throws BadCallException {
        if (draining) {
            return Answer.json(503, Json.object().put("error", "draining").put("run", "not_run"));
        }
        JsonNode body = call.json();
        long maxTokens = Json.number(body, "max_tokens");
        if (maxTokens < 1 || maxTokens > 1_000_000) {
            throw new BadCallException("field max_tokens must be 1 to 1000000");
        }
        Generation generation = new Generation(
                Json.text(body, "request_id"),
                Json.text(body, "prompt"),
                (int) maxTokens,
                settings.meanTokens(),
                call.headersAsJson());
        all.add(generation);
        waiting.add(generation);
        notifyAll();
        return new Answer.Events(sink -> write(generation, sink));
    }

    private void write(Generation generation, Answer.Sink sink) throws IOException, InterruptedException {
        int sent = 0;
        try {
            String event = generation.events().take();
            while (!event.equals(Generation.END)) {
                sink.event(event);
                sent++;
                event = generation.events().take();
            }
            sink.event(Generation.END);
        } catch (IOException e) {
            abandon(generation);
            throw e;
        } finally {
            delivered(generation, sent);
        }
    }

    private synchronized void delivered(Generation generation, int events) {
        generation.markDelivered(events);
    }

    private synchronized void abandon(Generation generation) {
        if (waiting.remove(generation) || running.remove(generation)) {
            generation.abandon("abandoned");
        }
    }

    private synchronized Answer cancel(String requestId) {
        List<Generation> active = new ArrayList<>(waiting);
        active.addAll(running);
        for (Generation generation : active) {
            if (generation.requestId().equals(requestId)) {
                waiting.remove(generation);
                running.remove(generation);
                generation.abandon("cancelled");
                return Answer.json(200, Json.object().put("cancelled", true));
            }
        }
        return Answer.json(200, Json.object().put("cancelled", false));
    }

    private synchronized Answer reportedLoad() {
        if ((System.nanoTime() - reportedAtNanos) / 1_000_000 >= settings.reportLagMs()) {
            report = load();
            reportedAtNanos = System.nanoTime();
        }
        return Answer.json(200, report);
    }

    private ObjectNode load() {
        ObjectNode now = Json.object()
                .put("running", running.size())
                .put("waiting", waiting.size())
                .put("weight_version", version);
        ArrayNode hashes = now.putArray("cached_prefixes");
        cache.hashes().forEach(hashes::add);
        return now;
    }

    private synchronized Answer order(JsonNode body) throws BadCallException {
        long fencing = Json.number(body, "fencing");
        ObjectNode entry = Json.object()
                .put("order_id", Json.text(body, "order_id"))
                .put("fencing", fencing)
                .put("action", Json.text(body, "action"))
                .put("version", Json.number(body, "version"))
                .put("at_ms", System.currentTimeMillis());
        boolean stale = settings.checksFencing() && fencing < highestFencing;
        orders.add(entry.put("status", stale ? 409 : 200));
        if (stale) {
            return Answer.error(409, "stale_fencing");
        }
        highestFencing = Math.max(highestFencing, fencing);
        if (!entry.path("action").asText().equals("load_version")) {
            throw new BadCallException("field action must be load_version");
        }
        swapTo = entry.path("version").asLong();
        swapAtNanos = System.nanoTime() + settings.swapMs() * 1_000_000;
        notifyAll();
        return Answer.ok();
    }

    private synchronized Answer failSwaps(long count) {
        failingSwaps = (int) count;
        return Answer.ok();
    }

    private synchronized Answer drain(boolean on) {
        draining = on;
        return Answer.ok();
    }

    private synchronized Answer record() {
        ObjectNode body = Json.object().put("weight_version", version);
        body.set("generations", Json.array(all.stream().map(Generation::json).toList()));
        body.set("orders", Json.array(orders));
        return Answer.json(200, body);
    }

    private void run() {
        long stepNanos = 1_000_000_000L / settings.decodeTokensPerSecond();
        long next = System.nanoTime();
        try {
            while (!Thread.currentThread().isInterrupted()) {
                awaitWork();
                step();
                // A late step is not made up for by quicker ones, but the rate holds when sleeps are inexact.
                next = Math.max(next + stepNanos, System.nanoTime() - stepNanos);
                long pause = next - System.nanoTime();
                if (pause > 0) {
                    Thread.sleep(pause / 1_000_000, (int) (pause % 1_000_000));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void awaitWork() throws InterruptedException {
        while (waiting.isEmpty() && running.isEmpty() && swapTo == 0) {
            wait();
        }
    }

    private synchronized void step() {
        if (swapTo != 0 && System.nanoTime() - swapAtNanos >= 0) {
            if (failingSwaps > 0) {
                failingSwaps--;
            } else {
                version = swapTo;
            }
            swapTo = 0;
        }
        while (!waiting.isEmpty() && running.size() < settings.batchLimit()) {
            Generation generation = waiting.remove();
            generation.skipPrefill(cache.lookUpAndAdd(generation.prompt()));
            running.add(generation);
        }
        long budget = Math.max(1, settings.prefillTokensPerSecond() / settings.decodeTokensPerSecond());
        Iterator<Generation> batch = running.iterator();
        while (batch.hasNext()) {
            Generation generation = batch.next();
            if (generation.isPrefilled()) {
                if (generation.produce(version)) {
                    batch.remove();
                }
            } else {
                budget -= generation.prefill(budget);
            }
        }
    }
}
