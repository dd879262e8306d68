package org.magnoliabridge.measure;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class MeasureMainTest {
    private static final Path DOCS = Path.of("../docs");

    /** Guards against a measurement that fails, has too few sizes or is missing from the committed figures. */
    @Test
    void eachMeasurementHasItsSizesAndItsCommittedFigures() throws IOException {
        List<String> measured = new ArrayList<>();
        for (Measurement measurement : MeasureMain.measurements()) {
            Slope slope = measurement.run();
            assertThat(slope.name(), slope.points().size(), greaterThanOrEqualTo(Slope.MIN_POINTS));
            measured.add(slope.name() + " per " + slope.variable());
        }
        List<String> committed = SlopeTable.read(DOCS.resolve("measurements/slopes.json")).stream()
                .map(s -> s.name() + " per " + s.variable())
                .toList();
        assertThat(committed, equalTo(measured));
    }

    /** Guards against a capacity page whose table differs from the committed figures. */
    @Test
    void thePageAgreesWithTheFigures() throws IOException {
        Path page = DOCS.resolve("CAPACITY.md");
        if (Files.exists(page)) {
            List<Slope> slopes = SlopeTable.read(DOCS.resolve("measurements/slopes.json"));
            String table = SlopeTable.BEGIN + "\n" + SlopeTable.markdown(slopes) + SlopeTable.END;
            assertThat(Files.readString(page), containsString(table));
        }
    }
}
