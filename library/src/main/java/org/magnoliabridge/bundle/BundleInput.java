package org.magnoliabridge.bundle;

import java.util.Objects;
import org.magnoliabridge.external.StoreReply;

/** An input of {@link BundleCore}. */
public sealed interface BundleInput {
    /** Time has passed; sent at least once a second. */
    record Tick() implements BundleInput {}

    /** Whether this node is one of the members that watch the object API for its region. */
    record Watcher(boolean watcher) implements BundleInput {}

    /** The platform reported a change of an object; late, duplicate and false reports are harmless. */
    record Changed() implements BundleInput {}

    /** The answer to a {@link BundleEffect.Call}. */
    record Answered(long callId, StoreReply reply) implements BundleInput {
        public Answered {
            Objects.requireNonNull(reply);
        }
    }

    /** A peer sent the accepted bundle in the form of {@link SignedBundle#pack}. */
    @SuppressWarnings("ArrayRecordComponent")
    record BundleFromPeer(byte[] payload) implements BundleInput {}

    /** A peer sent the withdrawals in the form of {@link Withdrawals#write}. */
    @SuppressWarnings("ArrayRecordComponent")
    record WithdrawalsFromPeer(byte[] payload) implements BundleInput {}

    /**
     * A peer that has these versions answered a ping.
     *
     * @param confirmedAtMs when that peer's configuration was last confirmed: this node's time at which the ping was
     *     <em>sent</em> minus the age in the answer, so that network delay makes the result older, never newer
     */
    record PeerConfirmed(long bundleVersion, long withdrawalsVersion, long confirmedAtMs) implements BundleInput {}

    /** Whether this node reaches more than half of the members; valid for 2.5 s, and therefore sent every second. */
    record Majority(boolean reached) implements BundleInput {}
}
