package org.magnoliabridge.measure;

import java.security.KeyPair;
import java.util.ArrayList;
import java.util.List;
import org.magnoliabridge.bundle.BundleSignature;

/** Size of the signed bundle. */
final class BundleBytes implements Measurement {
    @Override
    public Slope run() {
        KeyPair operator = BundleSignature.generateKeys();
        List<Slope.Point> points = new ArrayList<>();
        for (int keys : Bundles.KEYS) {
            points.add(new Slope.Point(keys, Bundles.signed(keys, operator).length));
        }
        return Slope.fit("signed bundle", "keys", "bytes", points);
    }
}
