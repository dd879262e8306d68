package org.magnoliabridge.wire;

import java.util.Arrays;
import java.util.Optional;

/**
 * The secrets shared by all nodes; during rotation a second secret is accepted as well.
 *
 * <p>To rotate the secret: add the new one as the second secret on all nodes, then make it the first on all nodes, then
 * remove the old one.
 */
public final class ClusterSecrets {
    /** Minimum length of a secret, in bytes. */
    public static final int MIN_BYTES = 32;

    private final byte[] first;
    private final Optional<byte[]> second;

    /**
     * Creates the secrets of a node.
     *
     * @param first used for outgoing connections, and accepted on incoming ones
     * @param second also accepted on incoming connections
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

    /** Returns a string that does not contain the secrets. */
    @Override
    public String toString() {
        return "ClusterSecrets[***]";
    }
}
