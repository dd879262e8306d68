package org.magnoliabridge.edge;

import java.util.Optional;
import org.magnoliabridge.bundle.Bundle;
import org.magnoliabridge.bundle.ConfigSnapshot;
import org.magnoliabridge.bundle.Route;
import org.magnoliabridge.bundle.Service;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.ExecutionStatus;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.keys.KeyTable;

/** Authenticates and authorizes one request against one configuration snapshot. */
final class RequestAuthorizer {
    /** Placeholder team that queues calls of open routes; it is not configured, has no own weight and is not billed. */
    static final TeamId OPEN_ROUTE_TEAM = new TeamId("open-route");

    private final ConfigSnapshot config;
    private final long nowMs;

    RequestAuthorizer(ConfigSnapshot config, long nowMs) {
        this.config = config;
        this.nowMs = nowMs;
    }

    /** The team that a request runs for, and its key; the key is empty on open routes. */
    record Principal(TeamId team, Optional<KeyId> key) {}

    /** Returns the team that a key belongs to; fails if the key is missing, unknown or withdrawn. */
    Principal authenticate(Optional<String> key) throws CallException {
        if (!config.servesKeyed(nowMs)) {
            throw CallException.notRun(new Failure.StaleConfiguration());
        }
        KeyTable.Result result = key.map(config.keys()::authenticate).orElseGet(KeyTable.Unknown::new);
        return switch (result) {
            case KeyTable.Known known -> new Principal(known.team(), Optional.of(known.key()));
            case KeyTable.Unknown unknown -> throw CallException.notRun(new Failure.Unauthenticated());
            case KeyTable.Withdrawn withdrawn -> throw CallException.notRun(new Failure.Unauthenticated());
        };
    }

    /** Returns the service with this name and kind if the team may use it. */
    Service authorizeService(Principal principal, String name, Service.Kind kind) throws CallException {
        Service service = findService(name, kind);
        if (!bundle().allows(principal.team(), service.id())) {
            throw CallException.notRun(new Failure.Forbidden(service.id().value()));
        }
        return service;
    }

    /** Returns a service without checking the team, for open routes. */
    Service findService(String name, Service.Kind kind) throws CallException {
        ServiceId id;
        try {
            id = ServiceId.parse(name);
        } catch (InvalidIdException e) {
            throw new CallException(new Failure.NotFound("the service"), ExecutionStatus.NOT_RUN, e);
        }
        return bundle().service(id)
                .filter(s -> s.kind() == kind)
                .orElseThrow(() -> CallException.notRun(new Failure.NotFound("service " + id)));
    }

    /** Returns the route of a plain service that matches a method and path. */
    static Route findRoute(Service service, String method, String path) throws CallException {
        return service.route(method, path).orElseThrow(() -> CallException.notRun(new Failure.NotFound("the route")));
    }

    private Bundle bundle() throws CallException {
        return config.bundle().orElseThrow(() -> CallException.notRun(new Failure.StaleConfiguration()));
    }
}
