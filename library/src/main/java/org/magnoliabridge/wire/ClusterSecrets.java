package org.magnoliabridge.wire;

import java.util.Arrays;
import java.util.Optional;

/**
 * The secrets that all nodes share; a second one is accepted while they are replaced.
 *
 * <p>To replace a secret: add the new one as the second everywhere, then make it the first everywhere, then drop the
 * old one.
 */
public final class ClusterSecrets {
    /** Fewest bytes of a secret. */
    public static final int MIN_BYTES = 32;

    private final byte[] first;
    private final Optional<byte[]> second;

    /**
     * Takes the secret to use and the one to accept as well.
     *
     * @throws IllegalArgumentException if a secret is shorter than {@link #MIN_BYTES}
     */
    public ClusterSecrets(byte[] first, Optional<byte[]> second) {
        if (first.length < MIN_BYTES || second.map(s -> s.length < MIN_BYTES).orElse(false)) {
            throw new IllegalArgumentException("a cluster secret must have at least " + MIN_BYTES + " bytes");
        }
        this.first = first.clone();
        this.second = second.map(s -> Arrays.copyOf(s, s.length));
    }

    byte[] first() {
        return first;
    }

    Optional<byte[]> second() {
        return second;
    }

    /** Returns a text without the secrets. */
    @Override
    public String toString() {
        return "ClusterSecrets[***]";
    }
}
