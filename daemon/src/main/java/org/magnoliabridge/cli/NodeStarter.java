package org.magnoliabridge.cli;

import java.nio.file.Path;

/** Runs a node until it ends; the daemon passes its main class here, so that the command line does not depend on it. */
@FunctionalInterface
public interface NodeStarter {
    /**
     * Runs a node until a signal ends it.
     *
     * @param settings the settings file
     * @return the exit code of the process
     */
    int run(Path settings) throws Exception;
}
