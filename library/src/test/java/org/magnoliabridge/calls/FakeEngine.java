package org.magnoliabridge.calls;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** An engine whose next token is the number of words so far, so that lost or repeated tokens show in the text. */
public final class FakeEngine implements AutoCloseable {
    private static final JsonMapper JSON = new JsonMapper();

    /** The fault of each generation; most occur after {@link #faultAt} tokens, some at the end of the response. */
    public enum Fault {
        NONE,
        CLOSE,
        SILENT,
        SILENT_ALWAYS,
        WRONG_ID,
        SKIP_INDEX,
        REPEAT_INDEX,
        LATE_FOREIGN,
        WRONG_COUNT,
        NO_DONE,
        EXTRA_TOKEN,
        DRAINING,
        HOLD
    }

    public final FakeBackEnd server;
    public final CountDownLatch held = new CountDownLatch(1);
    public final CountDownLatch cancelled = new CountDownLatch(1);
    public volatile Fault fault = Fault.NONE;
    public volatile int faultAt = 2;
    public volatile long version = 7;

    public FakeEngine() throws IOException {
        server = new FakeBackEnd(this::answer);
    }

    public InetSocketAddress address() {
        return server.address();
    }

    public List<FakeBackEnd.Request> generations() {
        return server.requests("/v1/generate");
    }

    @Override
    public void close() throws IOException {
        held.countDown();
        server.close();
    }

    private boolean answer(FakeBackEnd.Request request, OutputStream out) throws IOException, InterruptedException {
        if (request.path().equals("/v1/load")) {
            if (fault == Fault.SILENT_ALWAYS) {
                return true;
            }
            String load = "{\"running\":1,\"waiting\":0,\"weight_version\":7,\"cached_prefixes\":[\"a\"]}";
            return FakeBackEnd.respond(out, 200, "application/json", load);
        }
        JsonNode body = JSON.readTree(request.body());
        if (request.path().equals("/v1/cancel")) {
            cancelled.countDown();
            return FakeBackEnd.respond(out, 200, "application/json", "{}");
        }
        if (fault == Fault.DRAINING) {
            return FakeBackEnd.respond(out, 503, "application/json", "{\"error\":\"draining\",\"run\":\"not_run\"}");
        }
        return generate(body, out);
    }

    private boolean generate(JsonNode body, OutputStream out) throws IOException, InterruptedException {
        String id = body.path("request_id").asText();
        int max = body.path("max_tokens").asInt();
        int words = GenerationRequest.countTokens(body.path("prompt").asText());
        FakeBackEnd.startStream(out);
        for (int i = 0; i < max; i++) {
            if (i == faultAt) {
                switch (fault) {
                    case CLOSE -> {
                        return false;
                    }
                    case SILENT, SILENT_ALWAYS -> {
                        return true;
                    }
                    case HOLD -> held.await();
                    case WRONG_ID -> token(out, "other", i, words + i);
                    case LATE_FOREIGN -> token(out, "earlier", 0, 99);
                    case REPEAT_INDEX -> token(out, id, i - 1, words + i - 1);
                    default -> {}
                }
            }
            boolean skipped = i == faultAt && (fault == Fault.SKIP_INDEX || fault == Fault.WRONG_ID);
            if (!skipped) {
                token(out, id, i, words + i);
            }
        }
        return finish(id, max, words, out);
    }

    private boolean finish(String id, int max, int words, OutputStream out) throws IOException {
        if (fault == Fault.EXTRA_TOKEN) {
            token(out, id, max, words + max);
        }
        int count = max + (fault == Fault.WRONG_COUNT ? -1 : fault == Fault.EXTRA_TOKEN ? 1 : 0);
        FakeBackEnd.event(out, "{\"request_id\":\"" + id + "\",\"finish\":\"length\",\"tokens\":" + count + "}");
        if (fault != Fault.NO_DONE) {
            FakeBackEnd.event(out, "[DONE]");
        }
        return FakeBackEnd.endStream(out);
    }

    private void token(OutputStream out, String id, int index, int word) throws IOException {
        FakeBackEnd.event(
                out,
                "{\"request_id\":\"" + id + "\",\"index\":" + index + ",\"token\":\" " + word + "\",\"weight_version\":"
                        + version + "}");
    }
}
