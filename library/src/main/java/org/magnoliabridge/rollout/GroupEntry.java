package org.magnoliabridge.rollout;

/**
 * A committed group in a step head.
 *
 * @param seq position of the entry in the step's log, from 1
 * @param digest SHA-256 of the body's bytes, hexadecimal
 * @param minVersion the oldest weight version in the body
 * @param usage usage that is counted when the group is acknowledged
 * @param replacedAt position in the step's log at which the entry was replaced; 0 while it is live
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
