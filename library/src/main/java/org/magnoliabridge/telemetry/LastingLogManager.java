package org.magnoliabridge.telemetry;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the process shuts down.
 *
 * <p>The standard one removes them in a shutdown hook of its own, and the lines of a drain would be lost. It is chosen
 * by the system property {@code java.util.logging.manager}.
 */
public final class LastingLogManager extends LogManager {
    @Override
    public void reset() {
        // Called by the runtime's shutdown hook; the process flushes its handler itself.
    }
}
