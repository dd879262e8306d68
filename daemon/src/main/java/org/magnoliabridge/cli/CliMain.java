package org.magnoliabridge.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** The main class of {@code bin/magnoliabridge}. */
public final class CliMain {
    private CliMain() {}

    /** Runs the command that the arguments name and exits with its code. */
    public static void main(String[] args) {
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        System.exit(new Cli(out, err, CliMain::node).run(args));
    }

    private static int node(Path settings) {
        throw new UnsupportedOperationException("this build has no node daemon: " + settings);
    }
}
