package org.magnoliabridge.edge;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.ExecutionStatus;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.InvalidIdException;

/** Serves the list of node addresses that callers may use; requires no key. */
final class AddressRoute {
    static final String PATH = "/v1/addresses";
    private static final JsonMapper JSON = new JsonMapper();
    private static final String PARAMETER = "dc=";

    private final AddressSource source;

    AddressRoute(AddressSource source) {
        this.source = source;
    }

    void handle(EdgeRequest request, Reply reply) throws CallException, IOException {
        AddressSource.Addresses answer =
                source.addresses(dataCentre(request.content().query()), request.callerIp());
        ObjectNode root = JSON.createObjectNode();
        ArrayNode list = root.putArray("addresses");
        for (AddressSource.NodeAddress node : answer.addresses()) {
            list.addObject()
                    .put("address", node.address())
                    .put("dc", node.dataCentre().value())
                    .put("weight", node.weight());
        }
        root.put("ttl_ms", answer.ttlMs());
        reply.sendJson(root.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static Optional<DataCentre> dataCentre(String query) throws CallException {
        if (query.isEmpty()) {
            return Optional.empty();
        }
        if (!query.startsWith(PARAMETER)) {
            throw ChatBody.malformed("the only query parameter is dc");
        }
        try {
            return Optional.of(DataCentre.parse(query.substring(PARAMETER.length())));
        } catch (InvalidIdException e) {
            throw new CallException(new Failure.MalformedRequest(e.getMessage()), ExecutionStatus.NOT_RUN, e);
        }
    }
}
