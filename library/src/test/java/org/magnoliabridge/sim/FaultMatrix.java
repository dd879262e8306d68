package org.magnoliabridge.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Runs a simulation once for each combination of effect and fault, and for a fixed random selection of pairs of them.
 * Counts the violations in a table.
 */
public final class FaultMatrix {
    private static final long PAIR_SEED = 20_261_204;
    private static final List<Fault> FAULTS = List.of(Fault.values());
    private static final int MAX_REPORTED = 20;

    private final Function<Map<Integer, Fault>, SimWorld> run;
    private final List<String> kinds;
    private final Map<String, int[]> cells = new TreeMap<>();
    private final List<String> failures = new ArrayList<>();
    private long runs;
    private long checks;
    private int violations;

    /**
     * Creates a matrix and makes a run without faults.
     *
     * @param run runs a simulation to its end with a fault for some effects, given by the number of the effect
     */
    public FaultMatrix(Function<Map<Integer, Fault>, SimWorld> run) {
        this.run = run;
        this.kinds = List.copyOf(runCell("no fault", Map.of()).kinds());
    }

    public FaultMatrix singleFaults() {
        for (int effect = 0; effect < kinds.size(); effect++) {
            for (Fault fault : FAULTS) {
                runCell(kinds.get(effect) + " / " + fault, Map.of(effect, fault));
            }
        }
        return this;
    }

    public FaultMatrix faultPairs(int count) {
        Random random = new Random(PAIR_SEED);
        for (int i = 0; i < count; i++) {
            int first = random.nextInt(kinds.size() - 1);
            // The first fault may add effects, so the second may affect one that the run without faults does not have.
            int second = first + 1 + random.nextInt(kinds.size() - first);
            Fault one = FAULTS.get(random.nextInt(FAULTS.size()));
            Fault two = FAULTS.get(random.nextInt(FAULTS.size()));
            runCell("pairs / " + one, Map.of(first, one, second, two));
        }
        return this;
    }

    /** Returns whether any run has violations; stops early once one is found. */
    public boolean findsViolation(int pairCount) {
        for (int effect = 0; effect < kinds.size() && violations == 0; effect++) {
            for (Fault fault : FAULTS) {
                runCell(kinds.get(effect) + " / " + fault, Map.of(effect, fault));
            }
        }
        return violations > 0 || faultPairs(pairCount).violations > 0;
    }

    private SimWorld runCell(String name, Map<Integer, Fault> faults) {
        SimWorld world = run.apply(faults);
        int[] counts = cells.computeIfAbsent(name, n -> new int[2]);
        counts[0]++;
        runs++;
        checks += world.checks();
        if (!world.violations().isEmpty()) {
            counts[1]++;
            violations++;
            if (failures.size() < MAX_REPORTED) {
                failures.add(new TreeMap<>(faults) + " " + world.violations());
            }
        }
        return world;
    }

    public List<String> failures() {
        return failures;
    }

    /** Writes the table to a file in the build directory. */
    public void write(String title, String file) throws IOException {
        StringBuilder out = new StringBuilder(title + "\n");
        out.append(String.format(
                "cells %d, effects in the undisturbed run %d, invariant checks %d, cells with violations %d%n%n",
                runs, kinds.size(), checks, violations));
        out.append(String.format("%-44s %7s %10s%n", "effect / fault", "cells", "violations"));
        cells.forEach((name, n) -> out.append(String.format("%-44s %7d %10d%n", name, n[0], n[1])));
        failures.forEach(f -> out.append(f).append('\n'));
        Path path = BuildFolder.file(file);
        Files.createDirectories(path.getParent());
        Files.writeString(path, out);
    }
}
