package org.magnoliabridge.telemetry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sends all logs of the process to standard output as JSON lines. */
public final class JsonLogs {
    private JsonLogs() {}

    /** Replaces the handlers of the root logger and sets its level. */
    public static void install(String nodeId, Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        // System.out would take a lock and copy each line once more.
        Handler queued = new QueuedHandler(
                new FileOutputStream(FileDescriptor.out), new JsonLogFormatter(nodeId), System::nanoTime);
        queued.setLevel(level);
        root.addHandler(queued);
        root.setLevel(level);
    }

    /** Waits up to half a second until all lines are written; called before the process exits. */
    public static void flush() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.flush();
        }
    }
}
