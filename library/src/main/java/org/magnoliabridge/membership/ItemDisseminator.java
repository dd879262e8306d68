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
 * Disseminates the pinned items: a node that gets a new version from elsewhere than a member pushes it to all members,
 * directly or along a tree; a member that sees a higher version in a ping requests it.
 */
final class ItemDisseminator {
    /** Up to this many members, each gets a push directly. */
    static final int MAX_DIRECT_PUSHES = 16;

    /** Branches at each level of the tree for more members. */
    static final int FAN_OUT = 8;

    private static final int MAX_INLINE_BYTES = 1_024;
    private static final long REQUEST_RETRY_MS = 1_000;

    private final MemberTable table;
    private final RandomGenerator random;
    private final Map<String, Item> accepted = new HashMap<>();
    private final Map<String, Long> deliveredVersions = new HashMap<>();
    private final Map<String, Long> requestedAtMs = new HashMap<>();
    private final Map<String, PendingForward> pendingForwards = new HashMap<>();

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

    /**
     * Stores an item that its owner accepted. Pushes it to all members, or, if a member delivered it, only to the
     * members that the delivery named.
     */
    void itemAccepted(Item item, List<MembershipEffect> effects) {
        if (item.version() <= version(item.name())) {
            return;
        }
        accepted.put(item.name(), item);
        requestedAtMs.remove(item.name());
        PendingForward forward = pendingForwards.remove(item.name());
        if (deliveredVersions.getOrDefault(item.name(), -1L) != item.version()) {
            List<NodeId> all =
                    new ArrayList<>(table.others().stream().map(Member::id).toList());
            shuffle(all);
            push(item, all, effects);
        } else if (forward != null) {
            push(item, forward.targets(), effects);
        }
    }

    /** Requests from a member the items of which it has a higher version. */
    void requestNewer(Member peer, List<Long> versions, long nowMs, List<MembershipEffect> effects) {
        for (int i = 0; i < Item.PINNED.size(); i++) {
            if (versions.get(i) > version(Item.PINNED.get(i))) {
                request(peer, Item.PINNED.get(i), nowMs, effects);
            }
        }
    }

    void handleRequest(Member peer, ItemRequest request, List<MembershipEffect> effects) {
        Item item = accepted.get(request.name());
        if (item != null && item.version() > request.aboveVersion()) {
            Delivery delivery = new Delivery(item.name(), item.version(), Optional.of(item.payload()), List.of());
            effects.add(send(peer, FrameType.ITEMS, MembershipCodec.pack(delivery)));
        }
    }

    void handleDelivery(Member peer, Delivery delivery, long nowMs, List<MembershipEffect> effects) {
        long ownVersion = version(delivery.name());
        if (delivery.version() == ownVersion) {
            push(accepted.get(delivery.name()), delivery.targets(), effects);
        } else if (delivery.version() > ownVersion) {
            PendingForward before = pendingForwards.get(delivery.name());
            List<NodeId> targets = new ArrayList<>(delivery.targets());
            if (before != null && before.version() == delivery.version()) {
                targets.addAll(before.targets());
            }
            pendingForwards.put(delivery.name(), new PendingForward(delivery.version(), targets));
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

    // Each push carries the node ids of its branch, so that nodes with different member tables agree on the tree.
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
        return new MembershipEffect.Send(
                Optional.of(to.id()), Optional.empty(), to.location().peerAddress(), type, 0, body);
    }

    private record PendingForward(long version, List<NodeId> targets) {}
}
