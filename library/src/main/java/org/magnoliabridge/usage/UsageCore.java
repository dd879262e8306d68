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
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.WindowId;

/**
 * Counts the requests that this node delivers, copies the counts to other nodes, and, while this node holds the usage
 * lease, seals and reports windows.
 *
 * <p>Times are wall-clock milliseconds, because windows are the same on all nodes. A node whose clock is off by less
 * than {@link UsageTimes#graceMs} counts a request in the adjacent window at worst.
 */
public final class UsageCore {
    /** Interval between copies; even with the time between ticks, a node failure loses less than 1 s of counts. */
    static final long COPY_INTERVAL_MS = 800;

    /** Number of windows whose counters are kept in memory. */
    static final long KEPT_WINDOWS = 2 * UsageSealer.CARRY_WINDOWS;

    /** Peers besides the leader that get copies: three processes hold each count, so two failures lose none. */
    private static final int COPY_PEERS = 2;

    private static final long DRAIN_COPY_INTERVAL_MS = 250;

    private final NodeId self;
    private final UsageTimes times;
    private final Set<Mechanism> mechanisms;
    private final CounterTable table;
    private final UsageSealer sealer;
    private List<ProcessName> copyPeers = List.of();
    private Optional<ProcessName> leader = Optional.empty();
    private long nextCopyMs;
    private boolean draining;
    private boolean drainReported;
    private long malformedMessages;

    /**
     * Creates a core without counts.
     *
     * @param incarnation differs from those of all earlier processes of this node, because counters start at zero
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

    /** Processes an input and returns the effects to carry out, in order. */
    public List<UsageEffect> handle(UsageInput input, long nowMs) {
        List<UsageEffect> effects = new ArrayList<>();
        switch (input) {
            case UsageInput.Delivered d -> table.add(window(d.atMs().orElse(nowMs)), d.team(), d.count(), nowMs);
            case UsageInput.Counts counts -> receive(counts, nowMs, effects);
            case UsageInput.Ack ack -> confirm(ack);
            case UsageInput.Peers peers -> {
                leader = peers.leader();
                copyPeers = peers.candidates().stream()
                        .filter(p -> !p.node().equals(self))
                        .filter(p ->
                                leader.filter(l -> l.node().equals(p.node())).isEmpty())
                        .limit(COPY_PEERS)
                        .toList();
                table.retainConfirmationsOf(copyTargets());
            }
            case UsageInput.LeaseHeld held -> sealer.leaseHeld(held.sendUntilMs(), held.fencing(), nowMs);
            case UsageInput.LeaseLost lost -> sealer.leaseLost();
            case UsageInput.Drain drain -> {
                draining = true;
                nextCopyMs = nowMs;
            }
            case UsageInput.Reply reply -> sealer.handleReply(reply.tag(), reply.reply(), nowMs, effects);
            case UsageInput.Reported r -> sealer.handleReportResult(r.tag(), r.result(), nowMs, effects);
            case UsageInput.EngineCounts e -> sealer.engineCounts(e, effects);
            case UsageInput.Tick tick -> {
                table.dropBefore(nowMs / times.windowMs() - KEPT_WINDOWS);
                sealer.tick(nowMs, effects);
            }
        }
        sendCopies(nowMs, effects);
        return effects;
    }

    /** Returns the number of messages from other nodes that could not be decoded. */
    public long malformedMessages() {
        return malformedMessages;
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
            // The message is not acknowledged, so the sender sends the counts again.
            malformedMessages++;
        }
    }

    private void confirm(UsageInput.Ack ack) {
        try {
            CountsCodec.Message message = CountsCodec.unpack(ack.body());
            // Copies that an earlier process of the node holds, or held, are none of the addressee's.
            boolean addressed = message.addressee().equals(ack.from().incarnation());
            if (addressed && copyTargets().contains(ack.from())) {
                table.confirm(ack.from(), message.counts());
            }
        } catch (MalformedUsageException e) {
            // The counts stay unconfirmed and are sent again.
            malformedMessages++;
        }
    }

    private void sendCopies(long nowMs, List<UsageEffect> effects) {
        Set<ProcessName> targets = copyTargets();
        if (nowMs >= nextCopyMs) {
            nextCopyMs = nowMs + (draining ? DRAIN_COPY_INTERVAL_MS : COPY_INTERVAL_MS);
            for (ProcessName target : targets) {
                boolean isLeader = leader.filter(target::equals).isPresent() && mechanisms.contains(Mechanism.COPIES);
                Map<CounterId, Count> counts = table.unconfirmed(target, isLeader, nowMs);
                if (!counts.isEmpty()) {
                    effects.add(
                            new UsageEffect.SendCounts(target.node(), CountsCodec.pack(target.incarnation(), counts)));
                }
            }
        }
        if (draining && !drainReported && leader.isPresent() && table.areOwnCountsConfirmedBy(List.copyOf(targets))) {
            drainReported = true;
            effects.add(new UsageEffect.Drained());
        }
    }

    private Set<ProcessName> copyTargets() {
        Set<ProcessName> targets = new LinkedHashSet<>();
        if (mechanisms.contains(Mechanism.COPIES)) {
            targets.addAll(copyPeers);
        }
        leader.ifPresent(targets::add);
        targets.removeIf(peer -> peer.node().equals(self));
        return targets;
    }
}
