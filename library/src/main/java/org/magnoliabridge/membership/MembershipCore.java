package org.magnoliabridge.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.membership.MemberState.Liveness;
import org.magnoliabridge.membership.MembershipCodec.Delivery;
import org.magnoliabridge.membership.MembershipCodec.ItemRequest;
import org.magnoliabridge.membership.MembershipCodec.PingBody;
import org.magnoliabridge.membership.MembershipCodec.PingRequest;
import org.magnoliabridge.membership.Probes.Probe;
import org.magnoliabridge.wire.FrameType;

/**
 * Maintains the member table with the SWIM protocol, and disseminates versioned items.
 *
 * <p>Each period a node pings some members. If a member doesn't answer in time, the node asks 3 others to ping it. If
 * no answer comes within the period, the member becomes suspect, and some time later dead unless it refutes the
 * suspicion.
 *
 * <pre>{@code
 * MembershipCore core = new MembershipCore(self, seeds, random);
 * for (MembershipEffect effect : core.handle(new MembershipInput.Tick(), clock.nowMs())) { ... }
 * }</pre>
 */
public final class MembershipCore {
    private static final int INDIRECT_PINGS = 3;
    private static final int MAX_AWAIT_PINGS_PER_PERIOD = 32;
    // Every 5 s one failed member or unreached seed is pinged, so that the sides of a healed partition rejoin.
    private static final long REJOIN_PERIOD_MS = 5_000;
    private static final long MIN_SYNC_PERIOD_MS = 5_000;
    private static final long SYNC_MS_PER_MEMBER_BEHIND = 100;
    private static final long SYNC_MS_PER_MEMBER = 400;
    // Several periods, because the first peer may have been frozen too.
    private static final long CATCH_UP_MS = 3_000;
    private static final long NEVER_MS = Long.MIN_VALUE / 2;
    private static final String MEMBER_TABLE = "members";

    private final MembershipSettings settings;
    private final MemberTable table;
    private final GossipQueue gossip = new GossipQueue();
    private final Probes probes;
    private final ItemDisseminator disseminator;
    private final RandomGenerator random;
    private final List<String> seeds;
    private final Map<String, Long> awaitedVersions = new TreeMap<>();
    private final Set<NodeId> suspects = new TreeSet<>();
    private Map<NodeId, String> instances = Map.of();
    private long confirmedAtMs = NEVER_MS;
    private int loadPermille;
    private int nextUnknownNode;
    private long periodStartMs = NEVER_MS;
    private long lastTickMs = NEVER_MS;
    private long lastRejoinMs = NEVER_MS;
    private long lastSyncMs = NEVER_MS;
    private long catchUpUntilMs = NEVER_MS;

    /**
     * Creates a core whose member table holds only this node.
     *
     * @param self this node, alive, with the incarnation of this start
     * @param seeds peer addresses of other nodes from the settings
     */
    public MembershipCore(Member self, List<String> seeds, RandomGenerator random) {
        this(self, seeds, random, MembershipSettings.DEFAULT);
    }

    /** Creates a core whose member table holds only this node, with other settings than the default ones. */
    public MembershipCore(Member self, List<String> seeds, RandomGenerator random, MembershipSettings settings) {
        this.settings = settings;
        table = new MemberTable(self);
        probes = new Probes(self.state().incarnation(), random);
        disseminator = new ItemDisseminator(table, random);
        this.random = random;
        this.seeds = List.copyOf(seeds);
        gossip.add(new MemberUpdate(self.id(), self.state(), Optional.of(self.location())));
    }

    /** Returns the members, this node included. */
    public List<Member> members() {
        return table.all();
    }

    /** Returns what is known of the other members, for status pages. */
    public List<MemberStatus> statuses(long nowMs) {
        return table.statuses(nowMs);
    }

    /** Returns the other members that have not reported this version of a pinned item. */
    public List<NodeId> membersBehind(String name, long version) {
        return table.membersBehind(name, version).stream().map(Member::id).toList();
    }

    /** Processes one input and returns the actions to perform, in order. */
    public List<MembershipEffect> handle(MembershipInput input, long nowMs) {
        List<MembershipEffect> effects = new ArrayList<>();
        switch (input) {
            case MembershipInput.Tick tick -> tick(nowMs, effects);
            case MembershipInput.Received r -> received(r, nowMs, effects);
            case MembershipInput.ItemAccepted hold -> itemAccepted(hold.item(), effects);
            case MembershipInput.Confirmation c -> confirmedAtMs = Math.max(confirmedAtMs, c.confirmedAtMs());
            case MembershipInput.Load load -> loadPermille = load.permille();
            case MembershipInput.Instances list -> {
                instances = new TreeMap<>(list.peerAddresses());
                table.setInstances(instances.keySet());
                table.removeDead(nowMs, true);
            }
            case MembershipInput.AwaitVersion a -> awaitedVersions.merge(a.name(), a.version(), Math::max);
            case MembershipInput.StoreServing store -> storeServing(store.serves());
            case MembershipInput.Leave leave -> leave(effects);
        }
        if (table.takeChanged()) {
            effects.add(new MembershipEffect.Changed(table.all()));
        }
        return effects;
    }

    private void tick(long nowMs, List<MembershipEffect> effects) {
        // When a tick is late, answers that arrived in the meantime still wait behind it, so that time doesn't count
        // yet.
        long observedMs = lastTickMs == NEVER_MS ? nowMs : Math.min(nowMs, lastTickMs + settings.indirectAfterMs());
        if (lastTickMs != NEVER_MS && nowMs - lastTickMs >= settings.suspicionMs()) {
            catchUpUntilMs = nowMs + CATCH_UP_MS;
        }
        lastTickMs = nowMs;
        for (Probe probe : probes.unanswered(observedMs, settings.indirectAfterMs())) {
            table.get(probe.target().orElseThrow()).ifPresent(m -> requestIndirectPings(m, probe, effects));
        }
        for (Probe probe : probes.expired(observedMs, settings.periodMs())) {
            table.get(probe.target().orElseThrow()).ifPresent(m -> suspect(m, nowMs));
        }
        table.expireSuspects(observedMs, settings.suspicionMs()).forEach(gossip::add);
        if (nowMs - periodStartMs >= settings.periodMs()) {
            periodStartMs = nowMs;
            period(nowMs, effects);
        }
    }

    private void period(long nowMs, List<MembershipEffect> effects) {
        int pings = probes.anyUnanswered(nowMs) ? settings.pingsAfterMiss() : settings.pings();
        for (int i = 0; i < pings; i++) {
            probes.next(table).ifPresent(m -> ping(m, true, nowMs, effects));
        }
        pingSuspects(nowMs, effects);
        pingAwaited(nowMs, effects);
        pingUnknownNodes(nowMs, effects);
        boolean alone = table.others().isEmpty();
        if (alone || nowMs - lastRejoinMs >= REJOIN_PERIOD_MS) {
            lastRejoinMs = nowMs;
            rejoin(nowMs, effects);
        }
        table.removeDead(nowMs, false);
        boolean reached = table.majorityAlive() && (alone || probes.mostAnswered(nowMs));
        effects.add(new MembershipEffect.Majority(reached));
    }

    // In a large cluster, gossip can take longer than the suspicion lasts, so the suspect is pinged directly.
    private void pingSuspects(long nowMs, List<MembershipEffect> effects) {
        suspects.removeIf(id ->
                table.get(id).map(m -> m.state().liveness() != Liveness.SUSPECT).orElse(true));
        suspects.forEach(id -> table.get(id).ifPresent(m -> ping(m, false, nowMs, effects)));
    }

    private void pingAwaited(long nowMs, List<MembershipEffect> effects) {
        awaitedVersions
                .entrySet()
                .removeIf(e -> table.membersBehind(e.getKey(), e.getValue()).isEmpty());
        awaitedVersions.forEach((name, version) -> table.membersBehind(name, version).stream()
                .filter(Member::isAlive)
                .limit(MAX_AWAIT_PINGS_PER_PERIOD)
                .forEach(m -> ping(m, false, nowMs, effects)));
    }

    // Nodes that start at the same time first form separate groups, and each group elects on its own until it knows the
    // others. So the listed nodes that are no members yet are pinged in each period.
    private void pingUnknownNodes(long nowMs, List<MembershipEffect> effects) {
        List<String> unknown = new ArrayList<>();
        instances.forEach((id, address) -> {
            if (table.get(id).isEmpty()) {
                unknown.add(address);
            }
        });
        for (int i = 0; i < Math.min(settings.pings(), unknown.size()); i++) {
            pingAddress(unknown.get(nextUnknownNode++ % unknown.size()), nowMs, effects);
        }
    }

    private void rejoin(long nowMs, List<MembershipEffect> effects) {
        List<Member> failed = table.failed();
        List<String> addresses = new ArrayList<>(seeds);
        // Seeds that are already members are skipped: with 340 nodes they would receive most of the pings.
        addresses.removeAll(
                table.all().stream().map(m -> m.location().peerAddress()).toList());
        int choice = failed.size() + addresses.size() == 0 ? -1 : random.nextInt(failed.size() + addresses.size());
        if (choice >= failed.size()) {
            pingAddress(addresses.get(choice - failed.size()), nowMs, effects);
        } else if (choice >= 0) {
            ping(failed.get(choice), false, nowMs, effects);
        }
    }

    private void pingAddress(String address, long nowMs, List<MembershipEffect> effects) {
        long id = probes.start(Optional.empty(), false, nowMs);
        byte[] body = pingBody(Optional.empty(), nowMs);
        effects.add(new MembershipEffect.Send(Optional.empty(), Optional.empty(), address, FrameType.PING, id, body));
    }

    private void ping(Member to, boolean counted, long nowMs, List<MembershipEffect> effects) {
        long id = probes.start(Optional.of(to.id()), counted, nowMs);
        effects.add(send(to, FrameType.PING, id, pingBody(Optional.of(to.id()), nowMs)));
    }

    private void requestIndirectPings(Member target, Probe probe, List<MembershipEffect> effects) {
        byte[] body = MembershipCodec.pack(
                new PingRequest(target.id(), target.location().peerAddress()));
        for (Member helper : probes.randomAlive(INDIRECT_PINGS, table, target.id())) {
            effects.add(send(helper, FrameType.PING_REQUEST, probe.id(), body));
        }
    }

    private void suspect(Member member, long nowMs) {
        if (member.isAlive()) {
            MemberState suspected = member.state().with(Liveness.SUSPECT);
            table.merge(new MemberUpdate(member.id(), suspected, Optional.empty()), nowMs)
                    .ifPresent(gossip::add);
            suspects.add(member.id());
        }
    }

    private void received(MembershipInput.Received r, long nowMs, List<MembershipEffect> effects) {
        try {
            switch (r.type()) {
                case PING -> {
                    PingBody body = MembershipCodec.readPing(r.body());
                    Member sender = merge(body, r.from().node(), nowMs, effects);
                    effects.add(answer(
                            r.from(), sender, FrameType.ACK, r.requestId(), pingBody(Optional.of(sender.id()), nowMs)));
                    requestMissing(sender, body, nowMs, effects);
                }
                case ACK -> ack(r, nowMs, effects);
                case PING_REQUEST -> relayPing(r, nowMs, effects);
                case ITEM_REQUEST -> itemRequest(r, effects);
                case ITEMS -> items(r, nowMs, effects);
                case LEAVING -> MembershipCodec.readUpdates(r.body()).forEach(u -> mergeUpdate(u, nowMs));
                default -> effects.add(new MembershipEffect.Malformed(r.from().node(), r.type()));
            }
        } catch (MalformedMessageException e) {
            effects.add(new MembershipEffect.Malformed(r.from().node(), r.type()));
        }
    }

    private void ack(MembershipInput.Received r, long nowMs, List<MembershipEffect> effects)
            throws MalformedMessageException {
        PingBody body = MembershipCodec.readPing(r.body());
        Optional<Probes.Relay> relay = probes.relay(r.requestId());
        relay.ifPresent(asked -> table.get(asked.requester().node())
                .ifPresent(m -> effects.add(answer(asked.requester(), m, FrameType.ACK, asked.requestId(), r.body()))));
        Member sender = merge(body, body.sender().id(), nowMs, effects);
        requestMissing(sender, body, nowMs, effects);
        Optional<Probe> probe = probes.answered(r.requestId(), body.sender().id(), nowMs);
        if (probe.isPresent() && relay.isEmpty() && body.confirmationAgeMs() >= 0) {
            // Relative to the time of sending, so that network delay can't make the confirmation look newer.
            long at = probe.get().sentAtMs() - body.confirmationAgeMs();
            effects.add(new MembershipEffect.Confirmed(body.versions(), at));
        }
    }

    private void relayPing(MembershipInput.Received r, long nowMs, List<MembershipEffect> effects)
            throws MalformedMessageException {
        PingRequest request = MembershipCodec.readPingRequest(r.body());
        if (table.get(r.from().node()).isPresent()) {
            long id = probes.startRelay(r.from(), r.requestId(), nowMs);
            effects.add(new MembershipEffect.Send(
                    Optional.of(request.node()),
                    Optional.empty(),
                    request.address(),
                    FrameType.PING,
                    id,
                    pingBody(Optional.of(request.node()), nowMs)));
        }
    }

    private void itemRequest(MembershipInput.Received r, List<MembershipEffect> effects)
            throws MalformedMessageException {
        ItemRequest request = MembershipCodec.readItemRequest(r.body());
        Optional<Member> peer = table.get(r.from().node());
        if (peer.isEmpty()) {
            return;
        }
        if (request.name().equals(MEMBER_TABLE)) {
            byte[] payload = MembershipCodec.packUpdates(table.allUpdates());
            Delivery delivery = new Delivery(MEMBER_TABLE, 0, Optional.of(payload), List.of());
            effects.add(send(peer.get(), FrameType.ITEMS, 0, MembershipCodec.pack(delivery)));
        } else {
            disseminator.handleRequest(peer.get(), request, effects);
        }
    }

    private void items(MembershipInput.Received r, long nowMs, List<MembershipEffect> effects)
            throws MalformedMessageException {
        Delivery delivery = MembershipCodec.readDelivery(r.body());
        Optional<Member> peer = table.get(r.from().node());
        if (delivery.name().equals(MEMBER_TABLE)) {
            // 0x90 is an empty MessagePack array.
            MembershipCodec.readUpdates(delivery.payload().orElse(new byte[] {(byte) 0x90}))
                    .forEach(u -> mergeTable(u, nowMs));
        } else if (peer.isPresent() && Item.PINNED.contains(delivery.name())) {
            disseminator.handleDelivery(peer.get(), delivery, nowMs, effects);
        }
    }

    private Member merge(PingBody body, NodeId from, long nowMs, List<MembershipEffect> effects) {
        mergeUpdate(body.sender(), nowMs);
        body.updates().forEach(u -> mergeUpdate(u, nowMs));
        table.recordReport(body.sender(), body.loadPermille(), body.versions());
        for (Item item : body.items()) {
            if (!Item.PINNED.contains(item.name()) && gossip.add(item)) {
                effects.add(new MembershipEffect.Deliver(from, item));
            }
        }
        MemberUpdate sender = body.sender();
        return table.get(sender.id())
                .orElse(new Member(
                        sender.id(), sender.state(), sender.location().orElseThrow(), 0));
    }

    // Members get whole tables directly from each other, so of a table only the refutation of a report about this node
    // is gossiped.
    private void mergeTable(MemberUpdate update, long nowMs) {
        table.merge(update, nowMs).filter(u -> u.id().equals(table.self().id())).ifPresent(gossip::add);
    }

    private void mergeUpdate(MemberUpdate update, long nowMs) {
        table.merge(update, nowMs).ifPresent(gossip::add);
    }

    // A table of 340 members takes 28 KB, and digests differ for a while after every change. So the whole table is
    // requested rarely: at most once per period by a node that knows less than half as many members as the peer, as a
    // new node does, or that has missed gossip because it was frozen; at most every 0.1 s per known member by a node
    // that knows fewer members than the peer; else at most every 0.4 s per known member. The last two intervals are at
    // least 5 s.
    private void requestMissing(Member peer, PingBody body, long nowMs, List<MembershipEffect> effects) {
        disseminator.requestNewer(peer, body.versions(), nowMs, effects);
        int mine = table.others().size() + 1;
        long perMemberMs = body.members() > mine ? SYNC_MS_PER_MEMBER_BEHIND : SYNC_MS_PER_MEMBER;
        boolean behind = 2 * mine < body.members() || nowMs < catchUpUntilMs;
        long waitMs = behind ? settings.periodMs() : Math.max(MIN_SYNC_PERIOD_MS, perMemberMs * mine);
        if (body.digest() != table.digest() && nowMs - lastSyncMs >= waitMs) {
            lastSyncMs = nowMs;
            effects.add(send(peer, FrameType.ITEM_REQUEST, 0, MembershipCodec.pack(new ItemRequest(MEMBER_TABLE, 0))));
        }
    }

    private void itemAccepted(Item item, List<MembershipEffect> effects) {
        if (Item.PINNED.contains(item.name())) {
            disseminator.itemAccepted(item, effects);
        } else {
            gossip.add(item);
        }
    }

    private void storeServing(boolean serves) {
        MemberState mine = table.self().state();
        MemberState next = mine.withStoreServing(serves);
        if (!next.equals(mine)) {
            gossip.add(table.setSelf(next));
        }
    }

    private void leave(List<MembershipEffect> effects) {
        MemberUpdate update = table.setSelf(table.self().state().withLeaving());
        gossip.add(update);
        byte[] body = MembershipCodec.packUpdates(List.of(update));
        for (Member m : probes.randomAlive(ItemDisseminator.MAX_DIRECT_PUSHES, table, update.id())) {
            effects.add(send(m, FrameType.LEAVING, 0, body));
        }
    }

    private byte[] pingBody(Optional<NodeId> to, long nowMs) {
        List<MemberUpdate> updates = new ArrayList<>();
        // A member that is considered suspect or dead is told so, because only the member itself can refute it.
        to.flatMap(table::get)
                .filter(m -> !m.isAlive())
                .ifPresent(m -> updates.add(new MemberUpdate(m.id(), m.state(), Optional.empty())));
        List<Item> items = new ArrayList<>();
        int others = table.others().size();
        gossip.fill(others + 1, updates, items);
        Member me = table.self();
        long ageMs = confirmedAtMs == NEVER_MS ? -1 : Math.max(0, nowMs - confirmedAtMs);
        MemberUpdate sender = new MemberUpdate(me.id(), me.state(), Optional.of(me.location()));
        return MembershipCodec.pack(new PingBody(
                sender, disseminator.versions(), table.digest(), others + 1, ageMs, loadPermille, updates, items));
    }

    private static MembershipEffect answer(ProcessName to, Member at, FrameType type, long requestId, byte[] body) {
        return new MembershipEffect.Send(
                Optional.of(to.node()),
                Optional.of(to.incarnation()),
                at.location().peerAddress(),
                type,
                requestId,
                body);
    }

    private static MembershipEffect send(Member to, FrameType type, long requestId, byte[] body) {
        return new MembershipEffect.Send(
                Optional.of(to.id()), Optional.empty(), to.location().peerAddress(), type, requestId, body);
    }
}
