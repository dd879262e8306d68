package org.magnoliabridge.standins;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** An engine's cache of prompt prefixes in blocks of characters; the least recently used block goes first. */
final class PrefixCache {
    static final int BLOCK_CHARS = 64;
    private static final int HASH_BYTES = 8;

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

    /** Returns the hash that names a prefix in load reports. */
    static String hash(String prefix) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(prefix.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, HASH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
