package org.magnoliabridge.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliabridge.ids.WeightVersion;

/** Combines the weight versions of consecutive tokens into ranges without gaps. */
final class VersionRangeBuilder {
    private final List<VersionRange> completed = new ArrayList<>();
    private WeightVersion version;
    private int from;
    private int next;

    /** Adds the weight version of the next token. */
    void add(WeightVersion tokenVersion) {
        if (version != null && !version.equals(tokenVersion)) {
            completed.add(new VersionRange(from, next, version));
            from = next;
        }
        version = tokenVersion;
        next++;
    }

    int tokens() {
        return next;
    }

    Optional<WeightVersion> last() {
        return Optional.ofNullable(version);
    }

    List<VersionRange> ranges() {
        List<VersionRange> all = new ArrayList<>(completed);
        if (version != null) {
            all.add(new VersionRange(from, next, version));
        }
        return List.copyOf(all);
    }
}
