package org.magnoliabridge.usage;

import java.util.Comparator;
import java.util.Objects;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WindowId;

/** Identifies a monotonic counter: the usage of one team in one window, as counted by one process. */
record CounterId(WindowId window, NodeId node, Incarnation incarnation, TeamId team) implements Comparable<CounterId> {
    private static final Comparator<CounterId> ORDER = Comparator.comparing(CounterId::window)
            .thenComparing(CounterId::node)
            .thenComparing(CounterId::incarnation)
            .thenComparing(CounterId::team);

    CounterId {
        Objects.requireNonNull(window);
        Objects.requireNonNull(node);
        Objects.requireNonNull(incarnation);
        Objects.requireNonNull(team);
    }

    @Override
    public int compareTo(CounterId other) {
        return ORDER.compare(this, other);
    }
}
