package org.magnoliabridge.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Stand-in for the interface that accepts usage reports; {@code GET /record} gives every report it got. */
public final class UsageInterface implements StandIn {
    private static final String USAGE = "/usage/";

    private final Map<String, byte[]> windows = new HashMap<>();
    private final List<ObjectNode> record = new ArrayList<>();
    private final StandInServer server;

    /** Starts it; port 0 lets the system choose. */
    public UsageInterface(InetSocketAddress listen) {
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
        if (call.isUnder("PUT", USAGE)) {
            return report(call.after(USAGE), call);
        }
        return Answer.error(404, "no such route");
    }

    private Answer report(String window, Call call) throws BadCallException {
        ObjectNode entry = Json.object().put("window", window).put("at_ms", System.currentTimeMillis());
        entry.set("headers", call.headersAsJson());
        entry.set("figures", call.json());
        byte[] earlier = windows.putIfAbsent(window, call.body());
        boolean accepted = earlier == null || Arrays.equals(earlier, call.body());
        record.add(entry.put("accepted", accepted).put("repeat", earlier != null));
        return accepted ? Answer.ok() : Answer.error(409, "other figures are already there");
    }
}
