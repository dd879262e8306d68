package org.magnoliabridge.bundle;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.ServiceId;

/**
 * A service that endpoints provide.
 *
 * @param priority which calls are served first when endpoints are short
 * @param routes rules for the calls of a plain service; a call without a matching route is refused
 */
public record Service(ServiceId id, Kind kind, Priority priority, List<Route> routes) {
    public Service {
        Objects.requireNonNull(id);
        Objects.requireNonNull(kind);
        Objects.requireNonNull(priority);
        routes = List.copyOf(routes);
    }

    /** Returns the route with the longest path prefix that matches; an exact method goes before {@code *}. */
    public Optional<Route> route(String method, String path) {
        return routes.stream()
                .filter(r -> r.matches(method, path))
                .max(Comparator.<Route>comparingInt(r -> r.pathPrefix().length())
                        .thenComparing(r -> !r.method().equals(Route.ANY_METHOD)));
    }

    /** What serves the calls. */
    public enum Kind {
        /** Shared model engines. */
        MODEL,
        /** HTTP services whose calls are relayed unchanged. */
        PLAIN
    }

    /** Which calls are served first. */
    public enum Priority {
        /** People wait for the answer. */
        INTERACTIVE,
        /** Trainers wait for samples. */
        TRAINING
    }
}
