package org.magnoliabridge.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.magnoliabridge.edge.DrainGate;
import org.magnoliabridge.membership.Item;
import org.magnoliabridge.membership.MemberState;
import org.magnoliabridge.membership.MemberStatus;
import org.magnoliabridge.routing.Endpoint;
import org.magnoliabridge.routing.EndpointState;

/** The status pages for operators; built on the control thread, read by any thread. */
final class StatusPages {
    private static final JsonMapper JSON = new JsonMapper();

    private final NodeContext context;
    private final ControlPlane control;
    private final DataPlane data;
    private volatile JsonNode status = JSON.createObjectNode();
    private volatile JsonNode endpoints = JSON.createArrayNode();

    StatusPages(NodeContext context, ControlPlane control, DataPlane data) {
        this.context = context;
        this.control = control;
        this.data = data;
    }

    JsonNode status() {
        return status;
    }

    JsonNode endpoints() {
        return endpoints;
    }

    /** Rebuilds the pages; control thread only. */
    void refresh() {
        status = makeStatus();
        endpoints = makeEndpoints();
    }

    private JsonNode makeStatus() {
        ObjectNode root = JSON.createObjectNode();
        DrainGate gate = data.server().gate();
        root.put("node_id", context.settings().nodeId().value());
        root.put("data_centre", context.settings().dataCentre().value());
        root.put("incarnation", context.incarnation().value());
        root.put("state", gate.state().name().toLowerCase(Locale.ROOT));
        root.put("open_requests", gate.open());
        root.put("bundle_version", control.configuration().core().bundleVersion());
        root.put("withdrawals_version", control.configuration().core().withdrawalsVersion());
        root.put(
                "serves_keyed",
                control.configuration().snapshot().servesKeyed(context.clock().nowMs()));
        ArrayNode leases = root.putArray("leases_held");
        control.leases().stream()
                .filter(l -> l.view().held())
                .forEach(l -> leases.addObject()
                        .put("scope", l.scope())
                        .put("fencing", l.view().fencing().value()));
        ArrayNode members = root.putArray("members");
        control.membership()
                .core()
                .statuses(context.clock().nowMs())
                .forEach(member -> addMember(members.addObject(), member));
        return root;
    }

    private static void addMember(ObjectNode node, MemberStatus status) {
        node.put("node_id", status.member().id().value());
        node.put("state", state(status.member().state()));
        node.put("data_centre", status.member().location().dataCentre().value());
        node.put("bundle_version", status.versions().get(Item.PINNED.indexOf(Item.BUNDLE)));
        node.put("withdrawals_version", status.versions().get(Item.PINNED.indexOf(Item.WITHDRAWALS)));
        node.put("contact_age_ms", status.contactAgeMs());
    }

    private static String state(MemberState state) {
        boolean left = state.leaving() && state.liveness() == MemberState.Liveness.DEAD;
        return left ? "left" : state.liveness().name().toLowerCase(Locale.ROOT);
    }

    private JsonNode makeEndpoints() {
        ArrayNode all = JSON.createArrayNode();
        data.admission().endpoints().forEach((endpoint, state) -> addEndpoint(all.addObject(), endpoint, state));
        return all;
    }

    private static void addEndpoint(ObjectNode node, Endpoint endpoint, EndpointState state) {
        node.put("id", endpoint.id().value());
        node.put("service", endpoint.service().value());
        node.put("dc", endpoint.dataCentre().value());
        node.put("address", endpoint.address());
        node.put("state", state.name().toLowerCase(Locale.ROOT));
    }
}
