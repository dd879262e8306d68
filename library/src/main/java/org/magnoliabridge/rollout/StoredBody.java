package org.magnoliabridge.rollout;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A group body as it is stored: one object, or a manifest and parts if the body is too large for one object.
 *
 * @param main the value of the body's key: the body or the manifest
 * @param parts the values of the part keys, written before the main object
 */
@SuppressWarnings("ArrayRecordComponent")
record StoredBody(String digest, long minVersion, long tokens, byte[] main, List<byte[]> parts) {
    /** Below the object API's limit of 1 MiB, with room for request overhead. */
    static final int MAX_PART_BYTES = 1_000_000;

    record Manifest(int parts, String digest, long minVersion, long tokens) {}

    static StoredBody of(GroupBody body) {
        byte[] bytes = StepJson.body(body);
        String digest = StepJson.digest(bytes);
        if (bytes.length <= MAX_PART_BYTES) {
            return new StoredBody(digest, body.minVersion(), body.tokens(), bytes, List.of());
        }
        List<byte[]> parts = new ArrayList<>();
        for (int from = 0; from < bytes.length; from += MAX_PART_BYTES) {
            parts.add(Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + MAX_PART_BYTES)));
        }
        byte[] main = StepJson.manifest(new Manifest(parts.size(), digest, body.minVersion(), body.tokens()));
        return new StoredBody(digest, body.minVersion(), body.tokens(), main, parts);
    }

    /** Returns the manifest of a stored body, given the value of its key. */
    static Manifest describe(byte[] main) throws MalformedStepException {
        Manifest manifest = StepJson.manifest(main);
        if (manifest != null) {
            return manifest;
        }
        GroupBody body = StepJson.body(main);
        return new Manifest(0, StepJson.digest(main), body.minVersion(), body.tokens());
    }
}
