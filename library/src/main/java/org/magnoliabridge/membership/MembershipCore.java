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
import org.magnoliabridge.membership.MembershipCodec.Contact;
import org.magnoliabridge.membership.MembershipCodec.Delivery;
import org.magnoliabridge.membership.MembershipCodec.Target;
import org.magnoliabridge.membership.MembershipCodec.Wanted;
import org.magnoliabridge.membership.Probes.Probe;
import org.magnoliabridge.membership.Standing.State;
import org.magnoliabridge.wire.FrameType;

/**
 * Decides who is a member, in the manner of SWIM, and spreads versioned items.
 *
 * <p>Each period a node pings some members. Without an answer in time it asks 3 others to ping that member; without one
 * within the period the member is suspect, and dead some time later unless it contradicts.
 *
 * <pre>{@code
 * MembershipCore core = new MembershipCore(self, place, incarnation, seeds, random);
 * for (MembershipEffect effect : core.handle(new MembershipInput.Tick(), clock.nowMs())) { ... }
 * }</pre>
 */
public final class MembershipCore {
    private static final int HELPERS = 3;
    private static final int MAX_AWAIT_PINGS = 32;
    // A lost member or unreached seed is tried every fifth second, so that a healed partition joins again.
    private static final long REJOIN_PERIOD_MS = 5_000;
    private static final long SYNC_MIN_MS = 5_000;
    private static final long SYNC_BEHIND_MS = 100;
    private static final long SYNC_MS = 400;
    private static final long NEVER_MS = Long.MIN_VALUE / 2;
    private static final String MEMBERS = "members";

    private final MembershipSettings settings;
    private final MemberTable table;
    private final Piggyback news = new Piggyback();
    private final Probes probes;
    private final ItemSpreader spreader;
    private final RandomGenerator random;
    private final List<String> seeds;
    private final Map<String, Long> awaited = new TreeMap<>();
    private final Set<NodeId> suspects = new TreeSet<>();
    private Map<NodeId, String> instances = Map.of();
    private long confirmedAtMs = NEVER_MS;
    private int loadPermille;
    private int nextStranger;
    private long periodStartMs = NEVER_MS;
    private long rejoinAtMs = NEVER_MS;
    private long syncAtMs = NEVER_MS;

    /**
     * Starts with a table of this node alone.
     *
     * @param self this node, with its incarnation as its standing
     * @param seeds peer addresses of other nodes from the settings
     */
    public MembershipCore(Member self, List<String> seeds, RandomGenerator random) {
        this(self, seeds, random, MembershipSettings.DEFAULT);
    }

    /** Starts with a table of this node alone and other times than the default ones. */
    public MembershipCore(Member self, List<String> seeds, RandomGenerator random, MembershipSettings settings) {
        this.settings = settings;
        table = new MemberTable(self);
        probes = new Probes(random);
        spreader = new ItemSpreader(table, random);
        this.random = random;
        this.seeds = List.copyOf(seeds);
        news.add(new MemberUpdate(self.id(), self.standing(), Optional.of(self.place())));
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
    public List<NodeId> behind(String name, long version) {
        return table.behind(name, version).stream().map(Member::id).toList();
    }

    /** Takes one input and returns what is to be done, in order. */
    public List<MembershipEffect> handle(MembershipInput input, long nowMs) {
        List<MembershipEffect> effects = new ArrayList<>();
        switch (input) {
            case MembershipInput.Tick tick -> tick(nowMs, effects);
            case MembershipInput.Received r -> received(r, nowMs, effects);
            case MembershipInput.Hold hold -> hold(hold.item(), effects);
            case MembershipInput.Confirmation c -> confirmedAtMs = Math.max(confirmedAtMs, c.confirmedAtMs());
            case MembershipInput.Load load -> loadPermille = load.permille();
            case MembershipInput.Instances list -> {
                instances = new TreeMap<>(list.peerAddresses());
                table.setInstances(instances.keySet());
                table.forget(nowMs, true);
            }
            case MembershipInput.Await a -> awaited.merge(a.name(), a.version(), Math::max);
            case MembershipInput.Leave leave -> leave(effects);
        }
        if (table.takeChanged()) {
            effects.add(new MembershipEffect.Changed(table.all()));
        }
        return effects;
    }

    private void tick(long nowMs, List<MembershipEffect> effects) {
        for (Probe probe : probes.unanswered(nowMs, settings.helpAfterMs())) {
            table.get(probe.target().orElseThrow()).ifPresent(m -> askForHelp(m, probe, effects));
        }
        for (Probe probe : probes.expired(nowMs, settings.periodMs())) {
            table.get(probe.target().orElseThrow()).ifPresent(m -> suspect(m, nowMs));
        }
        table.expireSuspects(nowMs, settings.suspicionMs()).forEach(news::add);
        if (nowMs - periodStartMs >= settings.periodMs()) {
            periodStartMs = nowMs;
            period(nowMs, effects);
        }
    }

    private void period(long nowMs, List<MembershipEffect> effects) {
        int pings = probes.anyUnanswered(nowMs) ? settings.pingsInTrouble() : settings.pings();
        for (int i = 0; i < pings; i++) {
            probes.next(table).ifPresent(m -> ping(m, true, nowMs, effects));
        }
        pingSuspects(nowMs, effects);
        pingAwaited(nowMs, effects);
        greet(nowMs, effects);
        boolean alone = table.others().isEmpty();
        if (alone || nowMs - rejoinAtMs >= REJOIN_PERIOD_MS) {
            rejoinAtMs = nowMs;
            rejoin(nowMs, effects);
        }
        table.forget(nowMs, false);
        boolean reached = table.majorityAlive() && (alone || probes.mostAnswered(nowMs));
        effects.add(new MembershipEffect.Majority(reached));
    }

    // The suspicion travels slower than it lasts when members are many, so the suspect is told directly.
    private void pingSuspects(long nowMs, List<MembershipEffect> effects) {
        suspects.removeIf(id ->
                table.get(id).map(m -> m.standing().state() != State.SUSPECT).orElse(true));
        suspects.forEach(id -> table.get(id).ifPresent(m -> ping(m, false, nowMs, effects)));
    }

    private void pingAwaited(long nowMs, List<MembershipEffect> effects) {
        awaited.entrySet().removeIf(e -> table.behind(e.getKey(), e.getValue()).isEmpty());
        awaited.forEach((name, version) -> table.behind(name, version).stream()
                .filter(Member::isAlive)
                .limit(MAX_AWAIT_PINGS)
                .forEach(m -> ping(m, false, nowMs, effects)));
    }

    // Nodes that start together meet in islands, and each island elects for itself until it has met the others.
    private void greet(long nowMs, List<MembershipEffect> effects) {
        List<String> strangers = new ArrayList<>();
        instances.forEach((id, address) -> {
            if (table.get(id).isEmpty()) {
                strangers.add(address);
            }
        });
        for (int i = 0; i < Math.min(settings.pings(), strangers.size()); i++) {
            pingUnnamed(strangers.get(nextStranger++ % strangers.size()), nowMs, effects);
        }
    }

    private void rejoin(long nowMs, List<MembershipEffect> effects) {
        List<Member> lost = table.lost();
        List<String> addresses = new ArrayList<>(seeds);
        // Seeds that are members already are left alone: with 340 nodes they would get most of the pings.
        addresses.removeAll(
                table.all().stream().map(m -> m.place().peerAddress()).toList());
        int choice = lost.size() + addresses.size() == 0 ? -1 : random.nextInt(lost.size() + addresses.size());
        if (choice >= lost.size()) {
            pingUnnamed(addresses.get(choice - lost.size()), nowMs, effects);
        } else if (choice >= 0) {
            ping(lost.get(choice), false, nowMs, effects);
        }
    }

    private void pingUnnamed(String address, long nowMs, List<MembershipEffect> effects) {
        long id = probes.start(Optional.empty(), false, nowMs);
        byte[] body = contact(Optional.empty(), nowMs);
        effects.add(new MembershipEffect.Send(Optional.empty(), address, FrameType.PING, id, body));
    }

    private void ping(Member to, boolean counted, long nowMs, List<MembershipEffect> effects) {
        long id = probes.start(Optional.of(to.id()), counted, nowMs);
        effects.add(send(to, FrameType.PING, id, contact(Optional.of(to.id()), nowMs)));
    }

    private void askForHelp(Member target, Probe probe, List<MembershipEffect> effects) {
        byte[] body =
                MembershipCodec.pack(new Target(target.id(), target.place().peerAddress()));
        for (Member helper : probes.some(HELPERS, table, target.id())) {
            effects.add(send(helper, FrameType.PING_REQUEST, probe.id(), body));
        }
    }

    private void suspect(Member member, long nowMs) {
        if (member.isAlive()) {
            Standing suspected = member.standing().with(State.SUSPECT);
            table.merge(new MemberUpdate(member.id(), suspected, Optional.empty()), nowMs)
                    .ifPresent(news::add);
            suspects.add(member.id());
        }
    }

    private void received(MembershipInput.Received r, long nowMs, List<MembershipEffect> effects) {
        try {
            switch (r.type()) {
                case PING -> {
                    Contact contact = MembershipCodec.contact(r.body());
                    Member sender = merge(contact, r.from(), nowMs, effects);
                    effects.add(send(sender, FrameType.ACK, r.requestId(), contact(Optional.of(sender.id()), nowMs)));
                    catchUp(sender, contact, nowMs, effects);
                }
                case ACK -> ack(r, nowMs, effects);
                case PING_REQUEST -> help(r, nowMs, effects);
                case ITEM_REQUEST -> itemRequest(r, effects);
                case ITEMS -> items(r, nowMs, effects);
                case LEAVING -> MembershipCodec.updates(r.body()).forEach(u -> mergeUpdate(u, nowMs));
                default -> effects.add(new MembershipEffect.Malformed(r.from(), r.type()));
            }
        } catch (MalformedMessageException e) {
            effects.add(new MembershipEffect.Malformed(r.from(), r.type()));
        }
    }

    private void ack(MembershipInput.Received r, long nowMs, List<MembershipEffect> effects)
            throws MalformedMessageException {
        Contact contact = MembershipCodec.contact(r.body());
        Optional<Probes.Relay> relay = probes.relay(r.requestId());
        if (relay.isPresent()) {
            effects.add(send(relay.get().requester(), FrameType.ACK, relay.get().requestId(), r.body()));
        }
        Member sender = merge(contact, contact.sender().id(), nowMs, effects);
        catchUp(sender, contact, nowMs, effects);
        Optional<Probe> probe = probes.answered(r.requestId(), nowMs);
        if (probe.isPresent() && relay.isEmpty() && contact.ageMs() >= 0) {
            // Counted from the time of sending, so a delay on the way can't make the confirmation look newer.
            long at = probe.get().sentAtMs() - contact.ageMs();
            effects.add(new MembershipEffect.Confirmed(contact.versions(), at));
        }
    }

    private void help(MembershipInput.Received r, long nowMs, List<MembershipEffect> effects)
            throws MalformedMessageException {
        Target target = MembershipCodec.target(r.body());
        Optional<Member> requester = table.get(r.from());
        if (requester.isPresent()) {
            long id = probes.startRelay(requester.get(), r.requestId(), nowMs);
            effects.add(new MembershipEffect.Send(
                    Optional.of(target.node()),
                    target.address(),
                    FrameType.PING,
                    id,
                    contact(Optional.of(target.node()), nowMs)));
        }
    }

    private void itemRequest(MembershipInput.Received r, List<MembershipEffect> effects)
            throws MalformedMessageException {
        Wanted wanted = MembershipCodec.wanted(r.body());
        Optional<Member> peer = table.get(r.from());
        if (peer.isEmpty()) {
            return;
        }
        if (wanted.name().equals(MEMBERS)) {
            byte[] payload = MembershipCodec.packUpdates(table.full());
            Delivery delivery = new Delivery(MEMBERS, 0, Optional.of(payload), List.of());
            effects.add(send(peer.get(), FrameType.ITEMS, 0, MembershipCodec.pack(delivery)));
        } else {
            spreader.requested(peer.get(), wanted, effects);
        }
    }

    private void items(MembershipInput.Received r, long nowMs, List<MembershipEffect> effects)
            throws MalformedMessageException {
        Delivery delivery = MembershipCodec.delivery(r.body());
        Optional<Member> peer = table.get(r.from());
        if (delivery.name().equals(MEMBERS)) {
            MembershipCodec.updates(delivery.payload().orElse(new byte[] {(byte) 0x90}))
                    .forEach(u -> mergeTable(u, nowMs));
        } else if (peer.isPresent() && Item.PINNED.contains(delivery.name())) {
            spreader.received(peer.get(), delivery, nowMs, effects);
        }
    }

    private Member merge(Contact contact, NodeId from, long nowMs, List<MembershipEffect> effects) {
        mergeUpdate(contact.sender(), nowMs);
        contact.updates().forEach(u -> mergeUpdate(u, nowMs));
        table.heard(contact.sender().id(), contact.loadPermille(), contact.versions());
        for (Item item : contact.items()) {
            if (!Item.PINNED.contains(item.name()) && news.add(item)) {
                effects.add(new MembershipEffect.Deliver(from, item));
            }
        }
        MemberUpdate sender = contact.sender();
        return table.get(sender.id())
                .orElse(new Member(
                        sender.id(), sender.standing(), sender.place().orElseThrow(), 0));
    }

    // Members learn whole tables from each other, so only what is said of this node itself is passed on.
    private void mergeTable(MemberUpdate update, long nowMs) {
        table.merge(update, nowMs).filter(u -> u.id().equals(table.self().id())).ifPresent(news::add);
    }

    private void mergeUpdate(MemberUpdate update, long nowMs) {
        table.merge(update, nowMs).ifPresent(news::add);
    }

    // A table of 340 members has 28 KB and the digests differ for a while after every change, so the whole table is
    // asked
    // for seldom: by a newcomer at once, by a node that knows fewer members at most every 0.1 s per member, else 0.4 s.
    private void catchUp(Member peer, Contact contact, long nowMs, List<MembershipEffect> effects) {
        spreader.compare(peer, contact.versions(), nowMs, effects);
        int mine = table.others().size() + 1;
        long perMemberMs = contact.members() > mine ? SYNC_BEHIND_MS : SYNC_MS;
        long waitMs = 2 * mine < contact.members() ? settings.periodMs() : Math.max(SYNC_MIN_MS, perMemberMs * mine);
        if (contact.digest() != table.digest() && nowMs - syncAtMs >= waitMs) {
            syncAtMs = nowMs;
            effects.add(send(peer, FrameType.ITEM_REQUEST, 0, MembershipCodec.pack(new Wanted(MEMBERS, 0))));
        }
    }

    private void hold(Item item, List<MembershipEffect> effects) {
        if (Item.PINNED.contains(item.name())) {
            spreader.hold(item, effects);
        } else {
            news.add(item);
        }
    }

    private void leave(List<MembershipEffect> effects) {
        Standing mine = table.self().standing();
        MemberUpdate update = table.setSelf(new Standing(mine.incarnation(), mine.refutation(), mine.state(), true));
        news.add(update);
        byte[] body = MembershipCodec.packUpdates(List.of(update));
        for (Member m : probes.some(ItemSpreader.DIRECT_MEMBERS, table, update.id())) {
            effects.add(send(m, FrameType.LEAVING, 0, body));
        }
    }

    private byte[] contact(Optional<NodeId> to, long nowMs) {
        List<MemberUpdate> updates = new ArrayList<>();
        // A member that is held for suspect or dead is told so, because only it can contradict.
        to.flatMap(table::get)
                .filter(m -> !m.isAlive())
                .ifPresent(m -> updates.add(new MemberUpdate(m.id(), m.standing(), Optional.empty())));
        List<Item> items = new ArrayList<>();
        int others = table.others().size();
        news.take(others + 1, updates, items);
        Member me = table.self();
        long ageMs = confirmedAtMs == NEVER_MS ? -1 : Math.max(0, nowMs - confirmedAtMs);
        MemberUpdate sender = new MemberUpdate(me.id(), me.standing(), Optional.of(me.place()));
        return MembershipCodec.pack(new Contact(
                sender, spreader.versions(), table.digest(), others + 1, ageMs, loadPermille, updates, items));
    }

    private static MembershipEffect send(Member to, FrameType type, long requestId, byte[] body) {
        return new MembershipEffect.Send(Optional.of(to.id()), to.place().peerAddress(), type, requestId, body);
    }
}
