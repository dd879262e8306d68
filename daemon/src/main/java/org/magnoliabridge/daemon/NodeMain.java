package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.magnoliabridge.core.CloseFailedException;
import org.magnoliabridge.settings.SettingsException;
import org.magnoliabridge.telemetry.JsonLogs;

/** Runs a node until the process is terminated; the termination signal starts a drain. */
public final class NodeMain {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int OK = 0;
    private static final int UNEXPECTED = 1;
    private static final int INVALID_INPUT = 3;

    private NodeMain() {}

    /**
     * Runs a node.
     *
     * @param file the settings file
     * @param err receives the errors found in the settings
     * @return the exit code of the process
     */
    public static int run(Path file, PrintStream err) throws InterruptedException {
        NodeSettings settings;
        try {
            settings = NodeSettings.read(file);
        } catch (SettingsException e) {
            e.problems().forEach(problem -> err.println(file.getFileName() + ": " + problem));
            return INVALID_INPUT;
        } catch (IOException e) {
            err.println(file + ": cannot be read: " + e.getMessage());
            return INVALID_INPUT;
        }
        JsonLogs.install(settings.nodeId().value(), settings.telemetry().level());
        try {
            Node node = Node.start(settings);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(node), "drain"));
            new CountDownLatch(1).await();
            return OK;
        } catch (IOException e) {
            LOG.atSevere().withCause(e).log("node cannot start");
            JsonLogs.flush();
            return UNEXPECTED;
        }
    }

    private static void shutDown(Node node) {
        try {
            node.drain();
            node.close();
        } catch (InterruptedException | CloseFailedException e) {
            LOG.atSevere().withCause(e).log("node did not end cleanly");
        }
        JsonLogs.flush();
    }
}
