package org.magnoliabridge.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliabridge.ids.WeightVersion;

/** Folds the weight version of each token into ranges without gaps. */
final class VersionRangeBuilder {
    private final List<VersionRange> completed = new ArrayList<>();
    private WeightVersion version;
    private int from;
    private int next;

    /** Adds the next token's version. */
    void add(WeightVersion stamp) {
        if (version != null && !version.equals(stamp)) {
            completed.add(new VersionRange(from, next, version));
            from = next;
        }
        version = stamp;
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
