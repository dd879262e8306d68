package org.magnoliabridge.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliabridge.ids.WeightVersion;

/** Generates unique texts, changes weights during a generation and records the weight version of each token. */
final class FakeEngine {
    static final long TOKEN_MS = 50;
    static final long VERSION_MS = 1_500;

    /** One in so many generations reports weight versions that do not match its number of tokens. */
    private static final int INVALID_RANGES_EVERY = 5;

    /** The weight version that was used for each token, by text. */
    final Map<String, List<Long>> versionsByText = new HashMap<>();

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
        versionsByText.put(text, versions);
        List<WeightRange> ranges = toRanges(versions);
        if (generations % INVALID_RANGES_EVERY == 0) {
            WeightRange last = ranges.removeLast();
            ranges.add(new WeightRange(last.from(), last.to() + 1, last.version()));
        }
        return new RunnerInput.Generated(generation, text, tokens, ranges);
    }

    private static List<WeightRange> toRanges(List<Long> versions) {
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
