package org.magnoliabridge.bundle;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.settings.SettingsException;
import org.magnoliabridge.settings.SettingsObject;

/**
 * The keys that were withdrawn; a set that only grows.
 *
 * <p>It is not signed: a withdrawal must not wait for the holder of the signing key, and a forged one can only
 * cause refusals.
 *
 * @param version rises by one with every update of the object; 0 before the first
 */
public record Withdrawals(long version, Set<KeyId> keys) {
    /** Key of the object. */
    public static final ObjectKey KEY = new ObjectKey("withdrawals");

    /** Nothing withdrawn yet. */
    public static final Withdrawals NONE = new Withdrawals(0, Set.of());

    private static final ObjectMapper MAPPER = new ObjectMapper();

    public Withdrawals {
        keys = Set.copyOf(keys);
        if (version < 0) {
            throw new IllegalArgumentException("version must not be negative: " + version);
        }
    }

    /** Returns the next version with one more key. */
    public Withdrawals with(KeyId key) {
        SortedSet<KeyId> more = new TreeSet<>(keys);
        more.add(key);
        return new Withdrawals(version + 1, more);
    }

    /** Returns the union of both, so that an old copy never makes a withdrawn key valid again, whatever its version. */
    public Withdrawals merge(Withdrawals other) {
        if (version >= other.version && keys.containsAll(other.keys)) {
            return this;
        }
        SortedSet<KeyId> all = new TreeSet<>(keys);
        all.addAll(other.keys);
        return new Withdrawals(Math.max(version, other.version), all);
    }

    /** Reads the object's value. */
    public static Withdrawals read(byte[] json) throws UnacceptableBundleException {
        try {
            SettingsObject o = SettingsObject.parse(json);
            Set<KeyId> keys = new TreeSet<>();
            for (String text : o.texts("keys")) {
                keys.add(KeyId.parse(text));
            }
            Withdrawals result = new Withdrawals(o.integer("version", 0, Long.MAX_VALUE), keys);
            o.finish();
            return result;
        } catch (SettingsException | InvalidIdException e) {
            throw new UnacceptableBundleException(UnacceptableBundleException.Reason.MALFORMED);
        }
    }

    /** Returns the object's value. */
    public byte[] write() {
        ObjectNode node = MAPPER.createObjectNode().put("version", version);
        ArrayNode array = node.putArray("keys");
        new TreeSet<>(keys).forEach(k -> array.add(k.value()));
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("unexpected failure to write JSON", e);
        }
    }
}
