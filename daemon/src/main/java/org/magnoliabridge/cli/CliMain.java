package org.magnoliabridge.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The main class of {@code bin/magnoliabridge}. */
public final class CliMain {
    // Kept in a field, because a logger that nobody holds may lose its level.
    private static final Logger XNIO = Logger.getLogger("org.xnio");

    private CliMain() {}

    /** Runs the command that the arguments name and exits with its code. */
    public static void main(String[] args) {
        XNIO.setLevel(Level.WARNING);
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        System.exit(new Cli(out, err, CliMain::node).run(args));
    }

    private static int node(Path settings) {
        throw new UnsupportedOperationException("this build has no node daemon: " + settings);
    }
}
