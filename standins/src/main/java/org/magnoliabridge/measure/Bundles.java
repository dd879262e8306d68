package org.magnoliabridge.measure;

import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import org.magnoliabridge.bundle.Bundle;
import org.magnoliabridge.bundle.BundleJson;
import org.magnoliabridge.bundle.BundleSignature;
import org.magnoliabridge.bundle.InvalidBundleException;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.keys.KeyEntry;

/** Makes signed bundles with a number of keys. */
final class Bundles {
    static final List<Integer> KEYS = List.of(250, 500, 1_000, 2_000);

    private static final String JSON = """
            {"version":3,"data_centres":[{"id":"trent","region":"midlands"}],
            "teams":[{"id":"anvil","weight":2,"tokens_per_second":1000,"services":["coachgen"]}],"keys":[],
            "services":[{"id":"coachgen","kind":"model","priority":"training","routes":[]}],
            "bounds":{"max_body_bytes":1048576,"max_staleness":4,"engine_slots":16}}
            """;

    private Bundles() {}

    /** Returns the bytes that nodes pass on. */
    static byte[] signed(int keys, KeyPair operator) {
        Random random = new Random(1);
        List<KeyEntry> entries = new ArrayList<>();
        for (int i = 0; i < keys; i++) {
            byte[] hash = new byte[KeyEntry.HASH_CHARS / 2];
            random.nextBytes(hash);
            entries.add(new KeyEntry(
                    new KeyId(String.format("key-%06d", i)),
                    new TeamId("anvil"),
                    HexFormat.of().formatHex(hash)));
        }
        try {
            Bundle bundle =
                    BundleJson.read(JSON.getBytes(StandardCharsets.UTF_8)).withKeys(entries);
            return BundleSignature.sign(bundle, operator.getPrivate()).pack();
        } catch (InvalidBundleException | InvalidKeyException e) {
            throw new IllegalStateException("the measured bundle is valid", e);
        }
    }
}
