package org.magnoliabridge.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.magnoliabridge.ids.TeamId;

/**
 * The faults of one endpoint that the requests of single teams show, and the teams for which it is taken out.
 *
 * <p>Load pattern: the requests of one team make an endpoint fail that serves all others, or an endpoint fails one
 * team's requests only. What one team's requests show affects no other team. Deterministic and not thread-safe.
 */
final class TeamFaults {
    private final int maxFaults;
    private final long firstBackOffMs;
    private final long maxBackOffMs;
    private final Map<TeamId, Faults> faults = new HashMap<>();

    private static final class Faults {
        private int inARow;
        private long backOffMs;
        private boolean out;
        private long retryAtMs;
    }

    /**
     * Creates an instance without faults.
     *
     * @param maxFaults the number of faults in a row that takes the endpoint out for a team
     * @param firstBackOffMs how long it is first taken out; each further time takes twice as long
     */
    TeamFaults(int maxFaults, long firstBackOffMs, long maxBackOffMs) {
        this.maxFaults = maxFaults;
        this.firstBackOffMs = firstBackOffMs;
        this.maxBackOffMs = maxBackOffMs;
    }

    /** Returns the back-off if this fault takes the endpoint out for the team; empty otherwise. */
    OptionalLong fault(TeamId team, long nowMs) {
        Faults current = faults.computeIfAbsent(team, t -> new Faults());
        current.inARow++;
        if (current.out || current.inARow < maxFaults) {
            return OptionalLong.empty();
        }
        current.out = true;
        current.backOffMs = current.backOffMs == 0 ? firstBackOffMs : Math.min(maxBackOffMs, 2 * current.backOffMs);
        current.retryAtMs = nowMs + current.backOffMs;
        return OptionalLong.of(current.backOffMs);
    }

    /** Forgets the faults of a team; an answer during a back-off belongs to an earlier request and changes nothing. */
    void answered(TeamId team) {
        Faults current = faults.get(team);
        if (current != null && !current.out) {
            faults.remove(team);
        }
    }

    /** Ends the back-offs that are over and returns their teams; one more fault takes the endpoint out again. */
    Set<TeamId> endBackOffs(long nowMs) {
        if (faults.isEmpty()) {
            return Set.of();
        }
        Set<TeamId> ended = new HashSet<>();
        faults.forEach((team, current) -> {
            if (current.out && nowMs >= current.retryAtMs) {
                current.out = false;
                current.inARow = maxFaults - 1;
                ended.add(team);
            }
        });
        return ended;
    }

    /** Returns the number of faults of a team since its last answer. */
    int inARow(TeamId team) {
        Faults current = faults.get(team);
        return current == null ? 0 : current.inARow;
    }

    /** Returns whether the endpoint is taken out for a team. */
    boolean isOut(TeamId team) {
        Faults current = faults.get(team);
        return current != null && current.out;
    }

    /** Returns the teams for which the endpoint is taken out. */
    Set<TeamId> teams() {
        if (faults.isEmpty()) {
            return Set.of();
        }
        Set<TeamId> teams = new HashSet<>();
        faults.forEach((team, current) -> {
            if (current.out) {
                teams.add(team);
            }
        });
        return teams;
    }

    /** Forgets all faults. */
    void clear() {
        faults.clear();
    }
}
