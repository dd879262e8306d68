package org.magnoliabridge.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.magnoliabridge.daemon.NodeMain;

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
        System.exit(new Cli(out, err, settings -> NodeMain.run(settings, err)).run(args));
    }
}
