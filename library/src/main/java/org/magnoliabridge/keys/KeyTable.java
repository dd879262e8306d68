package org.magnoliabridge.keys;

import java.security.MessageDigest;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.ids.TeamId;

/**
 * Tells whose key a text is; an immutable snapshot of the accepted bundle and the withdrawals.
 *
 * <pre>{@code
 * switch (table.authenticate(text)) {
 *     case KeyTable.Known known -> serve(known.team());
 *     case KeyTable.Unknown unknown -> refuse();
 *     case KeyTable.Withdrawn withdrawn -> refuse();
 * }
 * }</pre>
 */
public final class KeyTable {
    /** The table before any bundle was accepted; it knows no key. */
    public static final KeyTable EMPTY = new KeyTable(List.of(), Set.of());

    private static final byte[] NO_HASH = new byte[KeyEntry.HASH_CHARS / 2];

    private final Map<KeyId, Row> rows = new HashMap<>();
    private final Set<KeyId> withdrawn;

    private KeyTable(List<KeyEntry> entries, Set<KeyId> withdrawn) {
        this.withdrawn = Set.copyOf(withdrawn);
        for (KeyEntry entry : entries) {
            rows.put(entry.id(), new Row(entry.team(), HexFormat.of().parseHex(entry.sha256())));
        }
    }

    /** Returns the table of these keys without the withdrawn ones. */
    public static KeyTable of(List<KeyEntry> entries, Set<KeyId> withdrawn) {
        return new KeyTable(entries, withdrawn);
    }

    /** Returns whose key the text is; the time taken does not depend on how much of the secret is right. */
    public Result authenticate(String text) {
        Optional<TeamKey> key = TeamKey.parse(text);
        if (key.isEmpty()) {
            return new Unknown();
        }
        KeyId id = key.get().id();
        Row row = rows.get(id);
        boolean same = MessageDigest.isEqual(
                row == null ? NO_HASH : row.hash(), key.get().hash());
        if (row == null || !same) {
            return new Unknown();
        }
        return withdrawn.contains(id) ? new Withdrawn(id) : new Known(row.team(), id);
    }

    /** Returns whether the key still works; for streams that began before a withdrawal. */
    public boolean isActive(KeyId id) {
        return rows.containsKey(id) && !withdrawn.contains(id);
    }

    @SuppressWarnings("ArrayRecordComponent")
    private record Row(TeamId team, byte[] hash) {}

    /** The outcome of a look-up. */
    public sealed interface Result {}

    /** The key works for this team. */
    public record Known(TeamId team, KeyId key) implements Result {}

    /** No such key was issued. */
    public record Unknown() implements Result {}

    /** The key was issued and then withdrawn. */
    public record Withdrawn(KeyId key) implements Result {}
}
