package org.magnoliabridge.standins;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/**
 * Compares what callers and trainer saw with what the stand-ins recorded, and prints a line per invariant.
 *
 * <p>It shares no code with the service. Exit codes: 0 nothing violated, 1 an invariant violated, 2 wrong arguments or
 * unreadable records.
 */
public final class DemoChecker {
    private DemoChecker() {}

    /** Checks the run in the folder that the argument names. */
    public static void main(String[] args) {
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        if (args.length != 1) {
            out.println("usage: DemoChecker FOLDER");
            System.exit(2);
        }
        try {
            List<Verdict> verdicts = PlatformChecks.all(DemoRecords.read(Path.of(args[0])));
            verdicts.forEach(verdict -> out.println(verdict.text()));
            System.exit(verdicts.stream().anyMatch(Verdict::isViolated) ? 1 : 0);
        } catch (IOException | BadCallException e) {
            out.println("unreadable records: " + e.getMessage());
            System.exit(2);
        }
    }
}
