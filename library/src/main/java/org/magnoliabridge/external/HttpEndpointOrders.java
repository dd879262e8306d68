package org.magnoliabridge.external;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.ServiceId;

/** {@link EndpointOrders} over HTTP. */
public final class HttpEndpointOrders implements EndpointOrders {
    private static final String RUNNING = "running";
    private static final String STOPPED = "stopped";

    private final PlatformHttp http;

    /** Creates the adapter; the total limit is the deadline for sending an order and must be below the lease margin. */
    public HttpEndpointOrders(HttpCaller caller, InetSocketAddress target, HttpLimits limits) {
        this.http = new PlatformHttp(caller, target, limits);
    }

    @Override
    public void order(EndpointOrder order, String orderId, CallPermit permit) throws PlatformException {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("order_id", orderId);
        body.put("fencing", permit.fencing().value());
        body.put("dc", order.dc().value());
        body.put("service", order.service().value());
        body.put("kind", order.kind().wireName());
        body.put("desired", order.running() ? RUNNING : STOPPED);
        HttpAnswer answer =
                http.change(http.send("PUT", "/endpoints/" + order.endpoint().value(), PlatformHttp.bytes(body))
                        .onlyWhile(permit::isValid));
        if (answer.status() != 201) {
            PlatformHttp.requireAccepted(answer);
        }
    }

    @Override
    public List<EndpointOrder> list() throws PlatformException {
        JsonNode answer = PlatformHttp.json(http.read(http.get("/endpoints")));
        JsonNode array = answer.isArray() ? answer : answer.path("endpoints");
        if (!array.isArray()) {
            throw new PlatformException.Malformed("the endpoint list is not an array", null);
        }
        List<EndpointOrder> found = new ArrayList<>();
        for (JsonNode item : array) {
            found.add(parse(item));
        }
        return found;
    }

    private static EndpointOrder parse(JsonNode item) throws PlatformException {
        try {
            return new EndpointOrder(
                    EndpointId.parse(PlatformHttp.text(item, "id")),
                    DataCentre.parse(PlatformHttp.text(item, "dc")),
                    ServiceId.parse(PlatformHttp.text(item, "service")),
                    EndpointOrder.Kind.of(PlatformHttp.text(item, "kind")),
                    running(PlatformHttp.text(item, "desired")));
        } catch (InvalidIdException | IllegalArgumentException e) {
            throw new PlatformException.Malformed(e.getMessage(), e);
        }
    }

    private static boolean running(String word) {
        return switch (word) {
            case RUNNING -> true;
            case STOPPED -> false;
            default -> throw new IllegalArgumentException("unknown desired state: " + word);
        };
    }
}
