package org.magnoliabridge.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** News that waits to travel inside pings; each piece is sent a number of times that grows with log10 of the members. */
final class Piggyback {
    /** Most bytes of news in one ping or ack. */
    static final int MAX_BYTES = 900;

    private static final int SENDS_PER_LOG = 4;
    private static final int ITEM_HEADER_BYTES = 16;
    private static final int MAX_KNOWN_ITEMS = 1_024;

    private final Map<Object, Entry> waiting = new HashMap<>();
    private final Map<String, Long> known = new LinkedHashMap<>();
    private long order;

    void add(MemberUpdate update) {
        Entry old = waiting.get(update.id());
        // A place that waits must not be lost to a later change of the standing.
        boolean keepsPlace =
                old != null && update.place().isEmpty() && old.update().place().isPresent();
        MemberUpdate next = keepsPlace
                ? new MemberUpdate(update.id(), update.standing(), old.update().place())
                : update;
        waiting.put(update.id(), new Entry(next, null, MembershipCodec.size(next), order++, 0));
    }

    /** Adds a small item; returns whether it is news. */
    boolean add(Item item) {
        if (known.getOrDefault(item.name(), -1L) >= item.version()) {
            return false;
        }
        known.remove(item.name());
        known.put(item.name(), item.version());
        if (known.size() > MAX_KNOWN_ITEMS) {
            known.remove(known.keySet().iterator().next());
        }
        int bytes = ITEM_HEADER_BYTES + item.name().length() + item.payload().length;
        waiting.put("item " + item.name(), new Entry(null, item, bytes, order++, 0));
        return true;
    }

    /** Fills in the news for one message: what was sent least often first, then the most recent. */
    void take(int members, List<MemberUpdate> updates, List<Item> items) {
        int limit = SENDS_PER_LOG * (int) Math.ceil(Math.log10(members + 1));
        List<Map.Entry<Object, Entry>> sorted = new ArrayList<>(waiting.entrySet());
        sorted.sort(Comparator.comparingInt(
                        (Map.Entry<Object, Entry> e) -> e.getValue().sends())
                .thenComparingLong(e -> -e.getValue().order()));
        int left = MAX_BYTES;
        for (Map.Entry<Object, Entry> e : sorted) {
            Entry entry = e.getValue();
            if (entry.bytes() > left) {
                continue;
            }
            left -= entry.bytes();
            if (entry.item() == null) {
                updates.add(entry.update());
            } else {
                items.add(entry.item());
            }
            if (entry.sends() + 1 >= limit) {
                waiting.remove(e.getKey());
            } else {
                waiting.put(e.getKey(), entry.sentOnce());
            }
        }
    }

    private record Entry(MemberUpdate update, Item item, int bytes, long order, int sends) {
        private Entry sentOnce() {
            return new Entry(update, item, bytes, order, sends + 1);
        }
    }
}
