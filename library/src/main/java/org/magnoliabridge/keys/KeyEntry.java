package org.magnoliabridge.keys;

import java.util.Objects;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.ids.TeamId;

/**
 * A team's key as the configuration bundle contains it, with a hash in place of the secret.
 *
 * @param sha256 SHA-256 of the secret, 64 lower-case hex digits
 */
public record KeyEntry(KeyId id, TeamId team, String sha256) {
    /** Length of the hash in hex digits. */
    public static final int HASH_CHARS = 64;

    /** Regular expression of a valid hash. */
    public static final String HASH_PATTERN = "[0-9a-f]{64}";

    public KeyEntry {
        Objects.requireNonNull(id);
        Objects.requireNonNull(team);
        if (!sha256.matches(HASH_PATTERN)) {
            throw new IllegalArgumentException("sha256 of key " + id + " must have 64 lower-case hex digits");
        }
    }
}
