package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** One generation of the engine. All fields but the event queue are guarded by the engine's lock. */
final class Generation {
    /** Ends the event queue. */
    static final String END = "[DONE]";

    private static final int CHARS_PER_TOKEN = 4;
    private static final int TOKEN_HASH_BYTES = 6;

    private final String requestId;
    private final String prompt;
    private final int targetTokens;
    private final boolean stopsEarly;
    private final ObjectNode headers;
    private final long receivedMs = System.currentTimeMillis();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final List<String> tokens = new ArrayList<>();
    private final List<Long> versions = new ArrayList<>();
    private long prefillLeft;
    private int delivered;
    private String finish = "running";

    /**
     * Creates a generation.
     *
     * @param meanTokens mean length before it stops by itself; 0 means that it always runs to maxTokens
     */
    Generation(String requestId, String prompt, int maxTokens, int meanTokens, ObjectNode headers) {
        this.requestId = requestId;
        this.prompt = prompt;
        this.headers = headers;
        int natural = meanTokens == 0
                ? maxTokens
                : 1 + Math.floorMod((requestId + prompt).hashCode(), Math.max(1, 2 * meanTokens - 1));
        targetTokens = Math.min(natural, maxTokens);
        stopsEarly = natural < maxTokens;
        prefillLeft = prompt.length() / CHARS_PER_TOKEN;
    }

    String requestId() {
        return requestId;
    }

    String prompt() {
        return prompt;
    }

    BlockingQueue<String> events() {
        return events;
    }

    void skipPrefill(int cachedChars) {
        prefillLeft = Math.max(0, (prompt.length() - cachedChars) / CHARS_PER_TOKEN);
    }

    /** Uses up to the given prefill tokens; returns how many it used. */
    long prefill(long budget) {
        long used = Math.min(budget, prefillLeft);
        prefillLeft -= used;
        return used;
    }

    boolean isPrefilled() {
        return prefillLeft == 0;
    }

    /** Adds the next token, stamped with the version that produced it; returns whether it was the last. */
    boolean produce(long version) {
        int index = tokens.size();
        // Each token of each generation is another one, so a checker can tell where a piece of text came from.
        String token = hash(requestId + '/' + index + '/' + prompt) + ' ';
        tokens.add(token);
        versions.add(version);
        events.add(Json.text(Json.object()
                .put("request_id", requestId)
                .put("index", index)
                .put("token", token)
                .put("weight_version", version)));
        if (tokens.size() < targetTokens) {
            return false;
        }
        end(stopsEarly ? "stop" : "length");
        return true;
    }

    /** Ends it with a finish event. */
    void end(String reason) {
        finish = reason;
        events.add(Json.text(
                Json.object().put("request_id", requestId).put("finish", reason).put("tokens", tokens.size())));
        events.add(END);
    }

    /** Ends it without a finish event, because it was cancelled or nobody reads any more. */
    void abandon(String reason) {
        finish = reason;
        events.add(END);
    }

    void markDelivered(int count) {
        delivered = count;
    }

    ObjectNode json() {
        ObjectNode all = Json.object()
                .put("request_id", requestId)
                .put("prompt", prompt)
                .put("received_ms", receivedMs)
                .put("finish", finish)
                .put("delivered", delivered);
        all.set("headers", headers);
        ArrayNode texts = all.putArray("tokens");
        tokens.forEach(texts::add);
        ArrayNode stamps = all.putArray("versions");
        versions.forEach(stamps::add);
        return all;
    }

    private static String hash(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, TOKEN_HASH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
