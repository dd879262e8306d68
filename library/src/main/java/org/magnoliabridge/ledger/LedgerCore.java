package org.magnoliabridge.ledger;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;

/**
 * Decides whether a call with an idempotency key is sent, answered from its record, or refused.
 *
 * <p>A call is sent only after its claim has been committed to the shard object by a conditional update. The next write
 * of a shard contains all its waiting claims and results; at most one store request per shard is in flight.
 *
 * <pre>{@code
 * LedgerCore ledger = new LedgerCore(node, incarnation, 64);
 * for (LedgerEffect effect : ledger.handle(new LedgerInput.Call(id, key, digest, deadlineMs), nowMs)) {
 *     ...
 * }
 * }</pre>
 *
 * <p>Times are wall-clock milliseconds, because records outlive processes. The clocks of nodes may differ by seconds;
 * the difference shifts the time at which a waiting repeated call is answered, and shortens or lengthens the retention.
 */
public final class LedgerCore {
    private final String tokenPrefix;
    private final int shardCount;
    private final Set<Mechanism> mechanisms;
    private final Map<Integer, LedgerShard> shards = new TreeMap<>();
    private final Map<Long, LedgerShard> shardByCall = new HashMap<>();
    private final Map<Long, LedgerShard> shardByTag = new HashMap<>();
    private long lastTag;
    private long lastToken;

    /**
     * Creates a core without records; each shard is read when it is first needed.
     *
     * @param incarnation differs from those of all earlier processes of this node, which keeps claim tokens unique
     * @param shardCount the same on all nodes; must not change while records are retained
     */
    public LedgerCore(NodeId node, Incarnation incarnation, int shardCount) {
        this(node, incarnation, shardCount, EnumSet.allOf(Mechanism.class));
    }

    LedgerCore(NodeId node, Incarnation incarnation, int shardCount, Set<Mechanism> mechanisms) {
        if (shardCount < 1) {
            throw new IllegalArgumentException("shardCount must be at least 1: " + shardCount);
        }
        this.tokenPrefix = node + "\n" + incarnation + "\n";
        this.shardCount = shardCount;
        this.mechanisms = mechanisms;
    }

    /** Processes an input and returns the effects to carry out, in order. */
    public List<LedgerEffect> handle(LedgerInput input, long nowMs) {
        List<LedgerEffect> effects = new ArrayList<>();
        switch (input) {
            case LedgerInput.Call call -> {
                String hash = call.key().hash();
                LedgerShard shard = shard(hash);
                shardByCall.put(call.callId(), shard);
                shard.add(new PendingCall(call, hash, nextToken(), nowMs), nowMs, effects);
            }
            case LedgerInput.SendFinished sent -> {
                LedgerShard shard = shardByCall.get(sent.callId());
                if (shard != null) {
                    shard.handleSendResult(sent.callId(), sent.result(), nowMs, effects);
                }
            }
            case LedgerInput.Reply reply -> {
                LedgerShard shard = shardByTag.remove(reply.tag());
                if (shard != null) {
                    shard.handleReply(reply.tag(), reply.reply(), nowMs, effects);
                }
            }
            case LedgerInput.Tick tick -> {
                for (LedgerShard shard : List.copyOf(shards.values())) {
                    shard.tick(nowMs, effects);
                }
                shardByTag.entrySet().removeIf(e -> !e.getValue().isInFlight(e.getKey()));
                shardByCall.entrySet().removeIf(e -> !e.getValue().hasCall(e.getKey()));
            }
        }
        return effects;
    }

    /** Returns the number of calls that have no answer yet or whose result is not yet recorded. */
    public int pending() {
        return shards.values().stream().mapToInt(LedgerShard::pending).sum();
    }

    private LedgerShard shard(String hash) {
        int number = Math.floorMod(Integer.parseUnsignedInt(hash.substring(0, 8), 16), shardCount);
        return shards.computeIfAbsent(
                number, n -> new LedgerShard(new ObjectKey("ledger/" + n), this::nextTag, mechanisms));
    }

    private long nextTag(LedgerShard shard) {
        shardByTag.put(++lastTag, shard);
        return lastTag;
    }

    private String nextToken() {
        return LedgerKey.hash((tokenPrefix + ++lastToken).getBytes(StandardCharsets.UTF_8));
    }
}
