package org.magnoliabridge.bundle;

import java.io.IOException;
import java.nio.file.Files;
import java.util.TreeMap;
import org.magnoliabridge.sim.BuildFolder;

/** Writes the results of the fault tests to a file. */
final class FaultReport {
    private static final TreeMap<String, String> ROWS = new TreeMap<>();

    private FaultReport() {}

    static synchronized void add(String fault, String checks, String result) throws IOException {
        ROWS.put(fault + " | " + checks, result);
        StringBuilder text = new StringBuilder("fault | checks | result\n");
        ROWS.forEach(
                (key, value) -> text.append(key).append(" | ").append(value).append('\n'));
        Files.writeString(BuildFolder.file("fault-matrix-bundles.txt"), text);
    }
}
