package org.magnoliabridge.telemetry;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the process shuts down.
 *
 * <p>The default log manager removes them in its shutdown hook, so that lines logged during a drain would be lost. This
 * class is selected by the system property {@code java.util.logging.manager}.
 */
public final class LastingLogManager extends LogManager {
    @Override
    public void reset() {
        // Called by the runtime's shutdown hook. Handlers are kept; the process flushes them itself.
    }
}
