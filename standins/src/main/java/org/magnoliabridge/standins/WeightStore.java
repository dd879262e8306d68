package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in for the weight store: names each service's newest version and limits loads by a token bucket.
 *
 * <p>Test drivers publish a version by {@code PUT /weights/{service}} with {@code {"version"}}.
 */
public final class WeightStore implements StandIn {
    private static final String WEIGHTS = "/weights/";
    private static final String LOADS = "/loads";

    /**
     * Settings.
     *
     * @param loadsPerSecond rate of permits
     * @param burst permits that may be given at once
     */
    public record Settings(double loadsPerSecond, int burst) {
        public Settings {
            if (!(loadsPerSecond > 0) || burst < 1) {
                throw new IllegalArgumentException("loads per second and burst must be above 0");
            }
        }
    }

    private final Settings settings;
    private final Map<String, Long> versions = new HashMap<>();
    private final List<ObjectNode> record = new ArrayList<>();
    private double permits;
    private long refilledAtNanos = System.nanoTime();
    private final StandInServer server;

    /** Starts it; port 0 lets the system choose. */
    public WeightStore(InetSocketAddress listen, Settings settings) {
        this.settings = settings;
        permits = settings.burst();
        server = new StandInServer(listen, this::answer);
    }

    @Override
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private synchronized Answer answer(Call call) throws BadCallException {
        if (call.is("GET", "/record")) {
            return Answer.json(200, Json.array(record));
        }
        if (call.isUnder("POST", WEIGHTS) && call.path().endsWith(LOADS)) {
            return load(call);
        }
        if (call.isUnder("GET", WEIGHTS)) {
            Long version = versions.get(call.after(WEIGHTS));
            return version == null
                    ? Answer.error(404, "no such service")
                    : Answer.json(200, Json.object().put("version", version));
        }
        if (call.isUnder("PUT", WEIGHTS)) {
            long version = Json.number(call.json(), "version");
            versions.put(call.after(WEIGHTS), version);
            note("publish", call.after(WEIGHTS), version);
            return Answer.ok();
        }
        return Answer.error(404, "no such route");
    }

    private Answer load(Call call) throws BadCallException {
        String middle = call.path().substring(WEIGHTS.length(), call.path().length() - LOADS.length());
        int slash = middle.lastIndexOf('/');
        if (slash < 1 || !middle.substring(slash + 1).matches("\\d{1,18}")) {
            throw new BadCallException("the path must be /weights/{service}/{version}/loads");
        }
        long now = System.nanoTime();
        permits = Math.min(settings.burst(), permits + (now - refilledAtNanos) / 1e9 * settings.loadsPerSecond());
        refilledAtNanos = now;
        if (permits < 1) {
            long waitSeconds = (long) Math.ceil((1 - permits) / settings.loadsPerSecond());
            note("refused", middle.substring(0, slash), Long.parseLong(middle.substring(slash + 1)));
            return Answer.error(429, "rate limited").with("Retry-After", Long.toString(waitSeconds));
        }
        permits--;
        note("load", middle.substring(0, slash), Long.parseLong(middle.substring(slash + 1)));
        return Answer.ok();
    }

    private void note(String event, String service, long version) {
        record.add(Json.object()
                .put("event", event)
                .put("service", service)
                .put("version", version)
                .put("at_ms", System.currentTimeMillis()));
    }
}
