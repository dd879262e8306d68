package org.magnoliabridge.measure;

import java.security.KeyPair;
import java.util.ArrayList;
import java.util.List;
import org.magnoliabridge.bundle.BundleCore;
import org.magnoliabridge.bundle.BundleInput;
import org.magnoliabridge.bundle.BundleSignature;

/** Processor time to verify and apply a bundle from a peer. */
final class BundleTime implements Measurement {
    private static final int REPEATS = 20;

    @Override
    public Slope run() {
        KeyPair operator = BundleSignature.generateKeys();
        List<Slope.Point> points = new ArrayList<>();
        for (int keys : Bundles.KEYS) {
            byte[] payload = Bundles.signed(keys, operator);
            double nanos = CpuMeter.medianNanos(() -> {
                for (int i = 0; i < REPEATS; i++) {
                    apply(operator, payload);
                }
            });
            points.add(new Slope.Point(keys, nanos / 1_000 / REPEATS));
        }
        return Slope.fit("bundle processor time to apply", "keys", "us", points);
    }

    private static void apply(KeyPair operator, byte[] payload) {
        BundleCore core = new BundleCore(List.of(operator.getPublic()));
        core.handle(new BundleInput.BundleFromPeer(payload), 1_000_000);
        if (core.bundleVersion() == 0) {
            throw new IllegalStateException("the bundle was not accepted");
        }
    }
}
