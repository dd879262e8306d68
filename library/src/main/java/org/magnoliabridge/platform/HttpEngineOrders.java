package org.magnoliabridge.platform;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.WeightVersion;

/** {@link EngineOrders} over HTTP. */
public final class HttpEngineOrders implements EngineOrders {
    private final HttpCaller caller;
    private final HttpLimits limits;

    /** Creates the adapter; the total limit is the send deadline and must be below the lease margin. */
    public HttpEngineOrders(HttpCaller caller, HttpLimits limits) {
        this.caller = Objects.requireNonNull(caller);
        this.limits = Objects.requireNonNull(limits);
    }

    @Override
    public void loadVersion(InetSocketAddress engine, String orderId, FencingToken fencing, WeightVersion version)
            throws PlatformException {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("order_id", orderId);
        body.put("fencing", fencing.value());
        body.put("action", "load_version");
        body.put("version", version.value());
        PlatformHttp http = new PlatformHttp(caller, engine, limits);
        HttpAnswer answer = http.change(http.send("POST", "/v1/orders", PlatformHttp.bytes(body)));
        if (answer.status() != 200) {
            throw PlatformHttp.rejected(answer);
        }
    }
}
