package org.magnoliabridge.usage;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.WindowId;

/**
 * Counts what this node delivers, copies the counts to other nodes, and, while it holds the usage lease, seals and
 * reports windows.
 *
 * <p>Times are wall-clock milliseconds, because windows are the same on all nodes. A node whose clock is off by less
 * than the grace of {@link UsageTimes} counts a request at most into the neighbouring window.
 */
public final class UsageCore {
    /** Interval of the copies; with the time between ticks, a node's death loses less than one second of counts. */
    static final long COPY_MS = 800;

    /** Windows whose counters are kept in memory. */
    static final long KEPT_WINDOWS = 2 * UsageSealer.CARRY_WINDOWS;

    /** With the leader, three processes hold each count, so that two deaths lose none. */
    private static final int COPIES = 2;

    private static final long DRAIN_COPY_MS = 250;

    private final NodeId self;
    private final UsageTimes times;
    private final Set<Mechanism> mechanisms;
    private final CounterTable table;
    private final UsageSealer sealer;
    private List<UsageInput.Peer> copies = List.of();
    private Optional<UsageInput.Peer> leader = Optional.empty();
    private long nextCopyMs;
    private boolean draining;
    private boolean handedOver;
    private long malformed;

    /**
     * Creates a core without counts.
     *
     * @param incarnation differs from that of every earlier process of this node, because counters start at zero
     */
    public UsageCore(NodeId self, Incarnation incarnation, UsageTimes times) {
        this(self, incarnation, times, EnumSet.allOf(Mechanism.class));
    }

    UsageCore(NodeId self, Incarnation incarnation, UsageTimes times, Set<Mechanism> mechanisms) {
        this.self = self;
        this.times = times;
        this.mechanisms = mechanisms;
        this.table = new CounterTable(self, incarnation);
        this.sealer = new UsageSealer(table, times, mechanisms);
    }

    /** Takes an input and returns what is to be done, in order. */
    public List<UsageEffect> handle(UsageInput input, long nowMs) {
        List<UsageEffect> effects = new ArrayList<>();
        switch (input) {
            case UsageInput.Delivered d -> table.add(window(d.atMs().orElse(nowMs)), d.team(), d.count(), nowMs);
            case UsageInput.Counts counts -> receive(counts, nowMs, effects);
            case UsageInput.Ack ack -> confirm(ack);
            case UsageInput.Peers peers -> {
                leader = peers.leader();
                copies = peers.candidates().stream()
                        .filter(p -> !p.node().equals(self))
                        .filter(p ->
                                leader.filter(l -> l.node().equals(p.node())).isEmpty())
                        .limit(COPIES)
                        .toList();
                table.keepConfirmationsOf(targets());
            }
            case UsageInput.LeaseHeld held -> sealer.held(held.sendUntilMs(), held.fencing(), nowMs);
            case UsageInput.LeaseLost lost -> sealer.lost();
            case UsageInput.Drain drain -> {
                draining = true;
                nextCopyMs = nowMs;
            }
            case UsageInput.Reply reply -> sealer.reply(reply.tag(), reply.reply(), nowMs, effects);
            case UsageInput.Reported r -> sealer.reported(r.tag(), r.result(), nowMs, effects);
            case UsageInput.EngineCounts e -> sealer.engineCounts(e, effects);
            case UsageInput.Tick tick -> {
                table.dropBefore(nowMs / times.windowMs() - KEPT_WINDOWS);
                sealer.tick(nowMs, effects);
            }
        }
        copy(nowMs, effects);
        return effects;
    }

    /** Returns the number of messages of other nodes that could not be unpacked. */
    public long malformed() {
        return malformed;
    }

    private WindowId window(long atMs) {
        return new WindowId(atMs / times.windowMs());
    }

    private void receive(UsageInput.Counts counts, long nowMs, List<UsageEffect> effects) {
        try {
            Map<CounterId, Count> received = CountsCodec.unpack(counts.body()).counts();
            table.merge(received, mechanisms.contains(Mechanism.MERGE_BY_MAX), nowMs);
            effects.add(new UsageEffect.SendAck(counts.from(), counts.body()));
        } catch (MalformedUsageException e) {
            // Not acknowledged, so the sender sends it again.
            malformed++;
        }
    }

    private void confirm(UsageInput.Ack ack) {
        try {
            CountsCodec.Message message = CountsCodec.unpack(ack.body());
            UsageInput.Peer peer = new UsageInput.Peer(ack.from(), message.addressee());
            if (targets().contains(peer)) {
                table.confirm(peer, message.counts());
            }
        } catch (MalformedUsageException e) {
            // The counts stay unconfirmed and are sent again.
            malformed++;
        }
    }

    private void copy(long nowMs, List<UsageEffect> effects) {
        Set<UsageInput.Peer> targets = targets();
        if (nowMs >= nextCopyMs) {
            nextCopyMs = nowMs + (draining ? DRAIN_COPY_MS : COPY_MS);
            for (UsageInput.Peer target : targets) {
                boolean isLeader = leader.filter(target::equals).isPresent() && mechanisms.contains(Mechanism.COPIES);
                Map<CounterId, Count> counts = table.unconfirmed(target, isLeader, nowMs);
                if (!counts.isEmpty()) {
                    effects.add(
                            new UsageEffect.SendCounts(target.node(), CountsCodec.pack(target.incarnation(), counts)));
                }
            }
        }
        if (draining && !handedOver && leader.isPresent() && table.isConfirmedBy(List.copyOf(targets))) {
            handedOver = true;
            effects.add(new UsageEffect.HandedOver());
        }
    }

    private Set<UsageInput.Peer> targets() {
        Set<UsageInput.Peer> targets = new LinkedHashSet<>();
        if (mechanisms.contains(Mechanism.COPIES)) {
            targets.addAll(copies);
        }
        leader.ifPresent(targets::add);
        targets.removeIf(peer -> peer.node().equals(self));
        return targets;
    }
}
