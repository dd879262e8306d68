package org.magnoliabridge.rollout;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Recently used heads and bodies; bodies never change, heads serve fetches while the store is unavailable. */
final class StepCache {
    private static final int MAX_HEADS = 100;

    private final long maxBytes;
    private final Map<String, byte[]> bodies = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<StepRef, StepHead> heads = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;

    StepCache(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    byte[] body(String digest) {
        return bodies.get(digest);
    }

    void put(String digest, byte[] body) {
        if (bodies.putIfAbsent(digest, body) == null) {
            bytes += body.length;
        }
        Iterator<byte[]> oldest = bodies.values().iterator();
        while (bytes > maxBytes && bodies.size() > 1) {
            bytes -= oldest.next().length;
            oldest.remove();
        }
    }

    StepHead head(StepRef step) {
        return heads.get(step);
    }

    void put(StepRef step, StepHead head) {
        heads.put(step, head);
        if (heads.size() > MAX_HEADS) {
            heads.remove(heads.keySet().iterator().next());
        }
    }
}
