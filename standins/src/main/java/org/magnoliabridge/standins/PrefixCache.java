package org.magnoliabridge.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** An engine's cache of prompt prefixes in blocks of characters; the least recently used block goes first. */
final class PrefixCache {
    static final int BLOCK_CHARS = 64;

    private final LinkedHashMap<String, Boolean> blocks;

    PrefixCache(int maxBlocks) {
        blocks = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > maxBlocks;
            }
        };
    }

    /** Returns how many leading characters of the prompt are cached, and caches all of it. */
    int lookUpAndAdd(String prompt) {
        int cached = 0;
        boolean unbroken = true;
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            boolean known = blocks.put(hash(prompt.substring(0, end)), true) != null;
            unbroken &= known;
            cached = unbroken ? end : cached;
        }
        return cached;
    }

    /** Returns the hashes of all cached prefixes. */
    List<String> hashes() {
        return new ArrayList<>(blocks.keySet());
    }

    // The hash that callers of an engine can compute too: String.hashCode of the prefix, in hex.
    private static String hash(String prefix) {
        return Integer.toHexString(prefix.hashCode());
    }
}
