package org.magnoliabridge.ledger;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.memory.Content;

/**
 * Identifies a call that must run at most once; the same text used by another team or service is a different key.
 *
 * @param key the caller's idempotency key, any text
 */
public record LedgerKey(TeamId team, ServiceId service, String key) {
    /** Length of the hashes in a shard; 128 bits keep records small and make a collision within a team unlikely. */
    static final int HASH_BYTES = 16;

    public LedgerKey {
        Objects.requireNonNull(team);
        Objects.requireNonNull(service);
        Objects.requireNonNull(key);
    }

    /** Returns the hash under which the call is recorded, as 32 hexadecimal digits. */
    String hash() {
        return hash((team + "\n" + service + "\n" + key).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the digest of a request body in the form that {@link LedgerInput.Call} takes. */
    public static String digestOf(byte[] body) {
        return hash(body);
    }

    /** Returns the digest of a request body that follows a text, in the form that {@link LedgerInput.Call} takes. */
    public static String digestOf(String start, Content body) {
        MessageDigest digest = newDigest();
        digest.update(start.getBytes(StandardCharsets.UTF_8));
        body.buffers().forEach(digest::update);
        return text(digest);
    }

    static String hash(byte[] bytes) {
        MessageDigest digest = newDigest();
        digest.update(bytes);
        return text(digest);
    }

    private static String text(MessageDigest digest) {
        return HexFormat.of().formatHex(digest.digest(), 0, HASH_BYTES);
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
