package org.magnoliabridge.core;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Collects resources and closes them in reverse order of registration.
 *
 * <pre>{@code
 * try (Closer closer = new Closer()) {
 *     ControlLoop loop = closer.register(new ControlLoop("control"));
 *     ...
 * }
 * }</pre>
 */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    /** Registers a resource for closing and returns it. */
    public synchronized <T extends AutoCloseable> T register(T resource) {
        resources.push(resource);
        return resource;
    }

    /**
     * Closes all resources, even if some of them fail to close.
     *
     * @throws CloseFailedException if any close failed, with the first failure as cause and the others suppressed
     */
    @Override
    public void close() throws CloseFailedException {
        CloseFailedException failure = null;
        AutoCloseable resource = poll();
        while (resource != null) {
            try {
                resource.close();
            } catch (Exception e) {
                if (failure == null) {
                    failure = new CloseFailedException(e);
                } else {
                    failure.addSuppressed(e);
                }
            }
            resource = poll();
        }
        if (failure != null) {
            throw failure;
        }
    }

    private synchronized AutoCloseable poll() {
        return resources.poll();
    }
}
