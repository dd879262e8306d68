package org.magnoliabridge.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliabridge.ids.WeightVersion;

/** Generates texts that are never the same twice, swaps weights in mid-generation and remembers what it truly used. */
final class FakeEngine {
    static final long TOKEN_MS = 50;
    static final long VERSION_MS = 1_500;

    /** Every so many generations a stamp is missing. */
    private static final int GAP_EVERY = 5;

    /** The true version of each token, by text. */
    final Map<String, List<Long>> truth = new HashMap<>();

    private int generations;

    static long versionAt(long nowMs) {
        return 10 + nowMs / VERSION_MS;
    }

    RunnerInput.Generated generate(String generation, String prompt, long nowMs) {
        int tokens = 6 + ++generations % 5;
        String text = "text " + generations + " for " + prompt;
        List<Long> versions = new ArrayList<>();
        for (int i = 0; i < tokens; i++) {
            versions.add(versionAt(nowMs + i * TOKEN_MS));
        }
        truth.put(text, versions);
        List<WeightRange> ranges = fold(versions);
        if (generations % GAP_EVERY == 0) {
            WeightRange last = ranges.removeLast();
            ranges.add(new WeightRange(last.from(), last.to() + 1, last.version()));
        }
        return new RunnerInput.Generated(generation, text, tokens, ranges);
    }

    private static List<WeightRange> fold(List<Long> versions) {
        List<WeightRange> ranges = new ArrayList<>();
        int from = 0;
        for (int i = 1; i <= versions.size(); i++) {
            if (i == versions.size() || !versions.get(i).equals(versions.get(from))) {
                ranges.add(new WeightRange(from, i, new WeightVersion(versions.get(from))));
                from = i;
            }
        }
        return ranges;
    }
}
