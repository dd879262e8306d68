package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.List;

/** Processor time of admission against endpoints. */
final class AdmissionTimeByEndpoints implements Measurement {
    @Override
    public Slope run() {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : List.of(10, 20, 40, 80)) {
            points.add(new Slope.Point(size, AdmissionNode.micros(size, 50)));
        }
        return Slope.fit("admission processor time per request", "endpoints", "us", points);
    }
}
