package org.magnoliabridge.external;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpLimits;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.ServiceId;

/** {@link InstanceList} over HTTP. */
public final class HttpInstanceList implements InstanceList {
    private final PlatformHttp http;

    public HttpInstanceList(HttpCaller caller, InetSocketAddress target, HttpLimits limits) {
        this.http = new PlatformHttp(caller, target, limits);
    }

    @Override
    public List<Instance> list() throws PlatformException {
        JsonNode array = PlatformHttp.json(http.read(http.get("/instances")));
        if (!array.isArray()) {
            throw new PlatformException.Malformed("the instance list is not an array", null);
        }
        List<Instance> found = new ArrayList<>();
        for (JsonNode item : array) {
            found.add(parse(item));
        }
        return found;
    }

    private static Instance parse(JsonNode item) throws PlatformException {
        try {
            String service = item.path("service").asText("");
            return new Instance(
                    PlatformHttp.text(item, "id"),
                    role(PlatformHttp.text(item, "role")),
                    service.isEmpty() ? Optional.empty() : Optional.of(ServiceId.parse(service)),
                    DataCentre.parse(PlatformHttp.text(item, "dc")),
                    PlatformHttp.text(item, "address"),
                    leaving(PlatformHttp.text(item, "state")));
        } catch (InvalidIdException e) {
            throw new PlatformException.Malformed(e.getMessage(), e);
        }
    }

    private static Role role(String word) throws PlatformException {
        return switch (word) {
            case "node" -> Role.NODE;
            case "endpoint" -> Role.ENDPOINT;
            default -> throw new PlatformException.Malformed("unknown role: " + word, null);
        };
    }

    private static boolean leaving(String word) throws PlatformException {
        return switch (word) {
            case "leaving" -> true;
            case "live" -> false;
            default -> throw new PlatformException.Malformed("unknown state: " + word, null);
        };
    }
}
