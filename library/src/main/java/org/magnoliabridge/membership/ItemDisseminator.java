package org.magnoliabridge.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.membership.MembershipCodec.Delivery;
import org.magnoliabridge.membership.MembershipCodec.ItemRequest;
import org.magnoliabridge.wire.FrameType;

/**
 * Spreads the pinned items: the first holder pushes a new version to all members, directly or down a tree; a member
 * that sees a higher version in a ping asks for it.
 */
final class ItemDisseminator {
    /** Up to this many members get a push directly. */
    static final int MAX_DIRECT_PUSHES = 16;

    /** Branches of the tree beyond that. */
    static final int FAN_OUT = 8;

    private static final int MAX_INLINE_BYTES = 1_024;
    private static final long REQUEST_RETRY_MS = 1_000;

    private final MemberTable table;
    private final RandomGenerator random;
    private final Map<String, Item> accepted = new HashMap<>();
    private final Map<String, Long> deliveredVersions = new HashMap<>();
    private final Map<String, Long> requestedAtMs = new HashMap<>();
    private final Map<String, Pending> pending = new HashMap<>();

    ItemDisseminator(MemberTable table, RandomGenerator random) {
        this.table = table;
        this.random = random;
    }

    List<Long> versions() {
        return Item.PINNED.stream().map(this::version).toList();
    }

    private long version(String name) {
        return accepted.containsKey(name) ? accepted.get(name).version() : 0L;
    }

    /** Takes an item that the owner accepted; pushes it if this node has it from elsewhere than from a member. */
    void itemAccepted(Item item, List<MembershipEffect> effects) {
        if (item.version() <= version(item.name())) {
            return;
        }
        accepted.put(item.name(), item);
        requestedAtMs.remove(item.name());
        Pending waiting = pending.remove(item.name());
        if (deliveredVersions.getOrDefault(item.name(), -1L) != item.version()) {
            List<NodeId> all =
                    new ArrayList<>(table.others().stream().map(Member::id).toList());
            shuffle(all);
            push(item, all, effects);
        } else if (waiting != null) {
            push(item, waiting.targets(), effects);
        }
    }

    /** Asks a member for the items of which it has a higher version. */
    void requestNewer(Member peer, List<Long> versions, long nowMs, List<MembershipEffect> effects) {
        for (int i = 0; i < Item.PINNED.size(); i++) {
            if (versions.get(i) > version(Item.PINNED.get(i))) {
                request(peer, Item.PINNED.get(i), nowMs, effects);
            }
        }
    }

    void handleRequest(Member peer, ItemRequest wanted, List<MembershipEffect> effects) {
        Item item = accepted.get(wanted.name());
        if (item != null && item.version() > wanted.aboveVersion()) {
            Delivery delivery = new Delivery(item.name(), item.version(), Optional.of(item.payload()), List.of());
            effects.add(send(peer, FrameType.ITEMS, MembershipCodec.pack(delivery)));
        }
    }

    void handleDelivery(Member peer, Delivery delivery, long nowMs, List<MembershipEffect> effects) {
        long mine = version(delivery.name());
        if (delivery.version() == mine) {
            push(accepted.get(delivery.name()), delivery.targets(), effects);
        } else if (delivery.version() > mine) {
            Pending before = pending.get(delivery.name());
            List<NodeId> targets = new ArrayList<>(delivery.targets());
            if (before != null && before.version() == delivery.version()) {
                targets.addAll(before.targets());
            }
            pending.put(delivery.name(), new Pending(delivery.version(), targets));
            if (delivery.payload().isPresent()) {
                Item item = new Item(
                        delivery.name(), delivery.version(), delivery.payload().get());
                deliveredVersions.put(item.name(), item.version());
                effects.add(new MembershipEffect.Deliver(peer.id(), item));
            } else {
                request(peer, delivery.name(), nowMs, effects);
            }
        }
    }

    private void request(Member peer, String name, long nowMs, List<MembershipEffect> effects) {
        Long before = requestedAtMs.get(name);
        if (before == null || nowMs - before >= REQUEST_RETRY_MS) {
            requestedAtMs.put(name, nowMs);
            byte[] body = MembershipCodec.pack(new ItemRequest(name, version(name)));
            effects.add(send(peer, FrameType.ITEM_REQUEST, body));
        }
    }

    // The names of the members of a branch travel with the push, so nodes with different tables agree on the tree.
    private void push(Item item, List<NodeId> targets, List<MembershipEffect> effects) {
        int branches = targets.size() <= MAX_DIRECT_PUSHES ? targets.size() : FAN_OUT;
        for (int i = 0; i < branches; i++) {
            int from = targets.size() * i / branches;
            int to = targets.size() * (i + 1) / branches;
            Optional<Member> head = table.get(targets.get(from));
            Optional<byte[]> payload =
                    item.payload().length <= MAX_INLINE_BYTES ? Optional.of(item.payload()) : Optional.empty();
            Delivery delivery =
                    new Delivery(item.name(), item.version(), payload, List.copyOf(targets.subList(from + 1, to)));
            byte[] body = MembershipCodec.pack(delivery);
            head.ifPresent(m -> effects.add(send(m, FrameType.ITEMS, body)));
        }
    }

    private void shuffle(List<NodeId> ids) {
        for (int i = ids.size() - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            NodeId swapped = ids.set(i, ids.get(j));
            ids.set(j, swapped);
        }
    }

    private static MembershipEffect send(Member to, FrameType type, byte[] body) {
        return new MembershipEffect.Send(Optional.of(to.id()), to.location().peerAddress(), type, 0, body);
    }

    private record Pending(long version, List<NodeId> targets) {}
}
