package org.magnoliabridge.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.magnoliabridge.ids.NodeId;

/**
 * Ranks nodes for a duty by rendezvous hashing: all nodes with the same member table agree on the order, and a change
 * of one member moves few duties.
 *
 * <pre>{@code
 * List<NodeId> candidates = Rendezvous.first("orders", 3, aliveNodes);
 * }</pre>
 */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Rendezvous() {}

    /** Returns the nodes, the preferred one first. */
    public static List<NodeId> rank(String scope, Collection<NodeId> nodes) {
        return nodes.stream()
                .sorted(Comparator.<NodeId>comparingLong(n -> hash(scope + "|" + n))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /** Returns the preferred nodes, at most this many. */
    public static List<NodeId> first(String scope, int count, Collection<NodeId> nodes) {
        return rank(scope, nodes).stream().limit(count).toList();
    }

    /** Returns a 64-bit hash that is the same in every process: FNV-1a with the finaliser of MurmurHash3. */
    public static long hash(String text) {
        long h = FNV_OFFSET;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            h = (h ^ (b & 0xff)) * FNV_PRIME;
        }
        h = (h ^ (h >>> 33)) * 0xff51afd7ed558ccdL;
        h = (h ^ (h >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return h ^ (h >>> 33);
    }
}
