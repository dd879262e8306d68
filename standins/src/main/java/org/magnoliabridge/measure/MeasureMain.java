package org.magnoliabridge.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Runs all measurements, writes their figures and prints the table; the argument is the root of the repository. */
public final class MeasureMain {
    private MeasureMain() {}

    /** Returns the measurements in the order of the table. */
    static List<Measurement> measurements() {
        return List.of(
                new MembershipBytes(),
                new MembershipTime(),
                new UsageBytes(),
                new UsageWindowBytes(),
                new BundleBytes(),
                new BundleTime(),
                new LedgerBytes(),
                new LedgerTime(),
                new LedgerWrites(),
                new RolloutCalls(),
                new RolloutBytes(),
                new AdmissionTimeByWaiting(),
                new AdmissionTimeByEndpoints(),
                new LeaseCalls());
    }

    /** Measures. */
    @SuppressWarnings("SystemOut")
    public static void main(String[] args) throws IOException {
        Path docs = Path.of(args.length == 0 ? "." : args[0], "docs");
        List<Slope> slopes = measurements().stream().map(Measurement::run).toList();
        Files.createDirectories(docs.resolve("measurements"));
        SlopeTable.write(docs.resolve("measurements/slopes.json"), slopes);
        Path page = docs.resolve("CAPACITY.md");
        if (Files.exists(page)) {
            Files.writeString(page, SlopeTable.replaceIn(Files.readString(page), slopes));
        }
        System.out.print(SlopeTable.markdown(slopes));
    }
}
