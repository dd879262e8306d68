package org.magnoliabridge.bundle;

import org.magnoliabridge.external.StoreRequest;

/** An action that {@link BundleCore} requests. */
public sealed interface BundleEffect {
    /** Replace the snapshot that traffic threads read. */
    record Publish(ConfigSnapshot snapshot) implements BundleEffect {}

    /** Call the object API and give the reply back as {@link BundleInput.Answered}; every call gets one reply. */
    record Call(long callId, StoreRequest request) implements BundleEffect {}

    /** Send a new version to all members: the bundle in the form of {@link SignedBundle#pack}. */
    @SuppressWarnings("ArrayRecordComponent")
    record BroadcastBundle(long version, byte[] payload) implements BundleEffect {}

    /** Send a new version to all members: the withdrawals in the form of {@link Withdrawals#write}. */
    @SuppressWarnings("ArrayRecordComponent")
    record BroadcastWithdrawals(long version, byte[] payload) implements BundleEffect {}

    /** Log and count a bundle, head or list of withdrawals that was not accepted. */
    record Reject(Source source, UnacceptableBundleException.Reason reason) implements BundleEffect {}

    /** Where the rejected data came from. */
    enum Source {
        PLATFORM,
        PEER
    }
}
