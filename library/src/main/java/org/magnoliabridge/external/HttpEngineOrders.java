package org.magnoliabridge.external;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpLimits;

/** {@link EngineOrders} over HTTP. */
public final class HttpEngineOrders implements EngineOrders {
    private final HttpCaller caller;
    private final HttpLimits limits;

    /** Creates the adapter; the total limit is the deadline for sending an order and must be below the lease margin. */
    public HttpEngineOrders(HttpCaller caller, HttpLimits limits) {
        this.caller = Objects.requireNonNull(caller);
        this.limits = Objects.requireNonNull(limits);
    }

    @Override
    public void loadVersion(Load load) throws PlatformException {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("order_id", load.orderId());
        body.put("fencing", load.permit().fencing().value());
        body.put("action", "load_version");
        body.put("version", load.version().value());
        PlatformHttp http = new PlatformHttp(caller, load.address(), limits);
        HttpAnswer answer = http.change(
                http.send("POST", "/v1/orders", PlatformHttp.bytes(body)).onlyWhile(load.permit()::isValid));
        PlatformHttp.requireAccepted(answer);
    }
}
