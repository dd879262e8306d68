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
 * Authenticates keys against an immutable snapshot of the accepted bundle and the withdrawn keys.
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
    /** The table without keys, in use until a bundle is accepted. */
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

    /** Returns a table of these keys, in which the withdrawn ones are refused. */
    public static KeyTable of(List<KeyEntry> entries, Set<KeyId> withdrawn) {
        return new KeyTable(entries, withdrawn);
    }

    /** Returns the owner of the key; the time taken does not depend on how much of the secret is correct. */
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

    /** Returns whether the key is still valid; for calls in progress, whose key may have been withdrawn since. */
    public boolean isActive(KeyId id) {
        return rows.containsKey(id) && !withdrawn.contains(id);
    }

    @SuppressWarnings("ArrayRecordComponent")
    private record Row(TeamId team, byte[] hash) {}

    /** The outcome of an authentication. */
    public sealed interface Result {}

    /** The key is valid and belongs to this team. */
    public record Known(TeamId team, KeyId key) implements Result {}

    /** The key is malformed, was not issued, or has a wrong secret. */
    public record Unknown() implements Result {}

    /** The key was issued and has been withdrawn. */
    public record Withdrawn(KeyId key) implements Result {}
}
