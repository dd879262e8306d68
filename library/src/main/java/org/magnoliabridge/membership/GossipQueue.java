package org.magnoliabridge.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Gossip that waits to be sent inside pings; each entry is sent a number of times that grows with log10 of the member
 * count.
 */
final class GossipQueue {
    /** Most bytes of gossip in one ping or ack. */
    static final int MAX_BYTES = 900;

    private static final int SENDS_PER_LOG10 = 4;
    private static final int ITEM_HEADER_BYTES = 16;
    private static final int MAX_KNOWN_ITEMS = 1_024;

    private final Map<Object, Entry> queued = new HashMap<>();
    private final Map<String, Long> latestVersions = new LinkedHashMap<>();
    private long nextOrder;

    void add(MemberUpdate update) {
        Entry old = queued.get(update.id());
        // A queued location must not be lost when a later update carries only a changed state.
        boolean keepsLocation = old != null
                && update.location().isEmpty()
                && old.update().location().isPresent();
        MemberUpdate next = keepsLocation
                ? new MemberUpdate(update.id(), update.state(), old.update().location())
                : update;
        queued.put(update.id(), new Entry(next, null, MembershipCodec.size(next), nextOrder++, 0));
    }

    /** Queues a small item; returns false if this version or a later one was queued before. */
    boolean add(Item item) {
        if (latestVersions.getOrDefault(item.name(), -1L) >= item.version()) {
            return false;
        }
        latestVersions.remove(item.name());
        latestVersions.put(item.name(), item.version());
        if (latestVersions.size() > MAX_KNOWN_ITEMS) {
            latestVersions.remove(latestVersions.keySet().iterator().next());
        }
        int bytes = ITEM_HEADER_BYTES + item.name().length() + item.payload().length;
        queued.put("item " + item.name(), new Entry(null, item, bytes, nextOrder++, 0));
        return true;
    }

    /** Adds the gossip for one message to both lists: entries sent least often first, of these the newest first. */
    void fill(int members, List<MemberUpdate> updates, List<Item> items) {
        int maxSends = SENDS_PER_LOG10 * (int) Math.ceil(Math.log10(members + 1));
        List<Map.Entry<Object, Entry>> sorted = new ArrayList<>(queued.entrySet());
        sorted.sort(Comparator.comparingInt(
                        (Map.Entry<Object, Entry> e) -> e.getValue().sends())
                .thenComparingLong(e -> -e.getValue().order()));
        int remainingBytes = MAX_BYTES;
        for (Map.Entry<Object, Entry> e : sorted) {
            Entry entry = e.getValue();
            if (entry.bytes() > remainingBytes) {
                continue;
            }
            remainingBytes -= entry.bytes();
            if (entry.item() == null) {
                updates.add(entry.update());
            } else {
                items.add(entry.item());
            }
            if (entry.sends() + 1 >= maxSends) {
                queued.remove(e.getKey());
            } else {
                queued.put(e.getKey(), entry.withOneMoreSend());
            }
        }
    }

    private record Entry(MemberUpdate update, Item item, int bytes, long order, int sends) {
        private Entry withOneMoreSend() {
            return new Entry(update, item, bytes, order, sends + 1);
        }
    }
}
