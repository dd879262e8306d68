package org.magnoliabridge.telemetry;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sends all logs of the process to standard error as JSON lines. */
public final class JsonLogs {
    private JsonLogs() {}

    /** Replaces the handlers of the root logger. */
    public static void install(String nodeId, Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler console = new ConsoleHandler();
        console.setFormatter(new JsonLogFormatter(nodeId));
        console.setLevel(level);
        root.addHandler(console);
        root.setLevel(level);
    }
}
