package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for a scoring service; the score depends on prompt and text only, so a repeat gets the same one. */
public final class ScoringService implements StandIn {
    private static final int SCORE_STEPS = 1_000;

    private final long delayMs;
    private final AtomicLong scored = new AtomicLong();
    private final StandInServer server;

    /** Starts it with a delay per call in milliseconds; port 0 lets the system choose. */
    public ScoringService(InetSocketAddress listen, long delayMs) {
        this.delayMs = delayMs;
        server = new StandInServer(listen, this::answer);
    }

    /** Returns the score, between 0 and 1, that the service gives. */
    public static double score(String prompt, String text) {
        return Math.floorMod((prompt + '\n' + text).hashCode(), SCORE_STEPS) / (double) SCORE_STEPS;
    }

    @Override
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private Answer answer(Call call) throws BadCallException, InterruptedException {
        if (call.is("GET", "/record")) {
            return Answer.json(200, Json.object().put("scored", scored.get()));
        }
        if (!call.is("POST", "/score")) {
            return Answer.error(404, "no such route");
        }
        JsonNode body = call.json();
        double score = score(Json.text(body, "prompt"), Json.text(body, "text"));
        Thread.sleep(delayMs);
        scored.incrementAndGet();
        return Answer.json(200, Json.object().put("score", score));
    }
}
