package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.List;

/** Processor time of admission against requests waiting. */
final class AdmissionTimeByWaiting implements Measurement {
    @Override
    public Slope run() {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : List.of(100, 200, 400, 800)) {
            points.add(new Slope.Point(size, AdmissionNode.micros(8, size)));
        }
        return Slope.fit("admission processor time per request", "requests waiting", "us", points);
    }
}
