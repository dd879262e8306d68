package org.magnoliabridge.rollout;

/**
 * A decided group in a step head.
 *
 * @param seq position in the step's log, from 1
 * @param digest SHA-256 of the body's bytes, hexadecimal
 * @param minVersion the oldest weight version in the body
 * @param figures what its acknowledgement adds to the usage
 * @param replacedAt position in the step's log at which the entry was replaced, or 0
 */
public record GroupEntry(
        long seq, String group, int attempt, String digest, long minVersion, DeliveredUsage usage, long replacedAt) {
    boolean isLive() {
        return replacedAt == 0;
    }

    GroupEntry replaced(long position) {
        return new GroupEntry(seq, group, attempt, digest, minVersion, usage, position);
    }
}
