package org.magnoliabridge.bundle;

import java.util.Objects;
import java.util.Optional;

/**
 * Rules for some calls of a plain service.
 *
 * @param method an HTTP method in upper case, or {@code *} for any
 * @param pathPrefix matches the path itself and everything below it
 * @param open whether calls need no key
 * @param idempotent whether a repeat of a call is harmless
 * @param outcomePath path at which the service reports the outcome of an idempotency key; empty if it has none
 */
public record Route(String method, String pathPrefix, boolean open, boolean idempotent, Optional<String> outcomePath) {
    /** Stands for any method. */
    public static final String ANY_METHOD = "*";

    public Route {
        Objects.requireNonNull(method);
        Objects.requireNonNull(pathPrefix);
        Objects.requireNonNull(outcomePath);
    }

    /** Returns whether the route covers a call; the prefix matches whole path segments only. */
    public boolean matches(String callMethod, String path) {
        return (method.equals(ANY_METHOD) || method.equals(callMethod)) && covers(path);
    }

    private boolean covers(String path) {
        if (!path.startsWith(pathPrefix)) {
            return false;
        }
        return path.length() == pathPrefix.length()
                || pathPrefix.endsWith("/")
                || path.charAt(pathPrefix.length()) == '/';
    }
}
