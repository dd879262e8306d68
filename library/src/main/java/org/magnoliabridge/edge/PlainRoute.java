package org.magnoliabridge.edge;

import java.io.IOException;
import java.util.Optional;
import java.util.regex.Pattern;
import org.magnoliabridge.bundle.Route;
import org.magnoliabridge.bundle.Service;
import org.magnoliabridge.calls.CallException;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.calls.Failure;
import org.magnoliabridge.calls.PlainAnswer;
import org.magnoliabridge.calls.PlainRequest;
import org.magnoliabridge.edge.RequestAuthorizer.Principal;

/** Forwards calls to plain services. */
final class PlainRoute {
    static final String PREFIX = "/services/";
    private static final long DEFAULT_DEADLINE_MS = 30_000;
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,255}");

    private final EdgeDependencies dependencies;

    PlainRoute(EdgeDependencies dependencies) {
        this.dependencies = dependencies;
    }

    void handle(EdgeRequest request, Reply reply, Cancellation cancellation) throws CallException, IOException {
        String rest = request.path().substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        long nowMs = dependencies.clock().nowMs();
        RequestAuthorizer authorizer =
                new RequestAuthorizer(dependencies.config().get(), nowMs);
        Principal principal = principal(authorizer, request, name, path);
        Service service = authorizer.findService(name, Service.Kind.PLAIN);
        Route route = RequestAuthorizer.findRoute(service, request.method(), path);
        String query = request.content().query();
        PlainRequest call = new PlainRequest(
                service.id(),
                principal.team(),
                request.method(),
                query.isEmpty() ? path : path + "?" + query,
                request.headers(),
                request.body(),
                route.idempotent(),
                PlainRequest.DEFAULT_ATTEMPTS,
                request.deadlineMs().orElse(nowMs + DEFAULT_DEADLINE_MS),
                request.id(),
                Optional.of(request.trace()));
        PlainAnswer answer = call(request, route, principal, call, cancellation);
        reply.send(answer.status(), answer.headers(), answer.body());
        if (principal.key().isPresent()) {
            dependencies.usage().delivered(new UsageSink.Delivery(principal.team(), service.id(), 1, 0, 0));
        }
    }

    // The key is checked before the route, so that callers without one learn nothing about routes that need one.
    private Principal principal(RequestAuthorizer authorizer, EdgeRequest request, String name, String path)
            throws CallException {
        boolean open = isOpen(authorizer, request, name, path);
        if (open && request.key().isEmpty()) {
            return new Principal(RequestAuthorizer.OPEN_ROUTE_TEAM, Optional.empty());
        }
        try {
            Principal principal = authorizer.authenticate(request.key());
            authorizer.authorizeService(principal, name, Service.Kind.PLAIN);
            return principal;
        } catch (CallException e) {
            if (open) {
                return new Principal(RequestAuthorizer.OPEN_ROUTE_TEAM, Optional.empty());
            }
            throw e;
        }
    }

    private static boolean isOpen(RequestAuthorizer authorizer, EdgeRequest request, String name, String path)
            throws CallException {
        try {
            Service service = authorizer.findService(name, Service.Kind.PLAIN);
            return service.route(request.method(), path).map(Route::open).orElse(false);
        } catch (CallException e) {
            if (e.failure() instanceof Failure.NotFound) {
                return false;
            }
            throw e;
        }
    }

    private PlainAnswer call(
            EdgeRequest request, Route route, Principal principal, PlainRequest call, Cancellation cancellation)
            throws CallException {
        Optional<String> key = request.header("idempotency-key");
        // Open routes have no team, so keys of different callers could collide; the header is only forwarded there.
        if (key.isEmpty() || route.idempotent() || principal.key().isEmpty()) {
            return dependencies.plain().call(call, cancellation);
        }
        if (!IDEMPOTENCY_KEY.matcher(key.get()).matches()) {
            throw ChatBody.malformed("header Idempotency-Key must have 1 to 255 printable characters");
        }
        return dependencies.idempotent().call(key.get(), route.outcomePath(), call, cancellation);
    }
}
