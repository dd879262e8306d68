package org.magnoliabridge.bundle;

import java.security.PublicKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.bundle.BundleEffect.Source;
import org.magnoliabridge.bundle.UnacceptableBundleException.Reason;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.BundleVersion;
import org.magnoliabridge.keys.KeyTable;

/**
 * Decides which bundle and which withdrawals are in force on this node, and whether they are fresh enough for keyed
 * work (requests that need a key).
 *
 * <p>A bundle is applied only as a whole, and only if it is signed, valid and newer than the node's own; withdrawals
 * only grow. After a start the node has neither, until peers or the platform have sent both.
 *
 * <pre>{@code
 * BundleCore core = new BundleCore(operatorKeys);
 * for (BundleEffect effect : core.handle(new BundleInput.Tick(), clock.nowMs())) { ... }
 * }</pre>
 */
public final class BundleCore {
    /** Longest time without a confirmation before a node that is cut off refuses keyed work, in milliseconds. */
    public static final long FRESHNESS_LIMIT_MS = 10_000;

    /** Confirmation time of a configuration that was never confirmed. */
    public static final long NEVER_MS = Long.MIN_VALUE / 2;

    private static final long CONFIRM_PERIOD_MS = 1_000;
    // A node that gets no confirmation from peers asks the platform itself, 2 s before it would have to refuse work.
    private static final long SELF_CONFIRM_AFTER_MS = 8_000;
    // Covers one late majority report. Kept short, so that a process that was paused doesn't serve on a report from
    // before the pause.
    private static final long MAJORITY_VALID_MS = 2_500;
    private static final long ROUND_TIMEOUT_MS = 3_000;

    private final List<PublicKey> operatorKeys;
    private final Checks checks;
    private final Map<Long, ReadTarget> calls = new HashMap<>();
    private Optional<Bundle> bundle = Optional.empty();
    private Optional<Withdrawals> withdrawals = Optional.empty();
    private KeyTable keys = KeyTable.EMPTY;
    private boolean watcher;
    private boolean changedDuringRound;
    private boolean inRound;
    private boolean headConfirmed;
    private boolean withdrawalsConfirmed;
    private long majorityAtMs = NEVER_MS;
    private long roundStartedMs = NEVER_MS;
    private long confirmedAtMs = NEVER_MS;
    private long nextCallId;

    public BundleCore(List<PublicKey> operatorKeys) {
        this(operatorKeys, Checks.ALL);
    }

    BundleCore(List<PublicKey> operatorKeys, Checks checks) {
        this.operatorKeys = List.copyOf(operatorKeys);
        this.checks = checks;
    }

    /** Returns the version in force, 0 for none. */
    public long bundleVersion() {
        return bundle.map(b -> b.version().value()).orElse(0L);
    }

    /** Returns the version of the withdrawals in force, 0 for none. */
    public long withdrawalsVersion() {
        return withdrawals.map(Withdrawals::version).orElse(0L);
    }

    /** Returns when the configuration in force was last confirmed as the platform's, in the node's monotonic time. */
    public long confirmedAtMs() {
        return confirmedAtMs;
    }

    /** Processes one input and returns the actions to perform, in order. */
    public List<BundleEffect> handle(BundleInput input, long nowMs) {
        List<BundleEffect> effects = new ArrayList<>();
        switch (input) {
            case BundleInput.Tick tick -> tick(nowMs, effects);
            case BundleInput.Watcher w -> watcher = w.watcher();
            case BundleInput.Changed changed -> changed(nowMs, effects);
            case BundleInput.Answered a -> answered(a.callId(), a.reply(), nowMs, effects);
            case BundleInput.BundleFromPeer p -> bundleFromPeer(p.payload(), effects);
            case BundleInput.WithdrawalsFromPeer p -> mergeWithdrawals(p.payload(), Source.PEER, effects);
            case BundleInput.PeerConfirmed p -> peerConfirmed(p, effects);
            case BundleInput.Majority m -> {
                majorityAtMs = m.reached() ? nowMs : NEVER_MS;
                publish(effects);
            }
        }
        return effects;
    }

    private void tick(long nowMs, List<BundleEffect> effects) {
        if (inRound && nowMs - roundStartedMs > ROUND_TIMEOUT_MS) {
            inRound = false;
        }
        boolean roundNeeded = watcher || !hasConfig() || nowMs - confirmedAtMs > SELF_CONFIRM_AFTER_MS;
        if (!inRound && roundNeeded && nowMs - roundStartedMs >= CONFIRM_PERIOD_MS) {
            startRound(nowMs, effects);
        }
        publish(effects);
    }

    private void changed(long nowMs, List<BundleEffect> effects) {
        if (inRound) {
            changedDuringRound = true;
        } else {
            startRound(nowMs, effects);
        }
    }

    private void startRound(long nowMs, List<BundleEffect> effects) {
        // Answers to earlier rounds are ignored, so a late one can't confirm this round.
        calls.clear();
        inRound = true;
        changedDuringRound = false;
        headConfirmed = false;
        withdrawalsConfirmed = false;
        roundStartedMs = nowMs;
        call(new ReadTarget.Head(), new StoreRequest.Read(BundleHead.KEY), effects);
        call(new ReadTarget.WithdrawnKeys(), new StoreRequest.Read(Withdrawals.KEY), effects);
    }

    private void call(ReadTarget target, StoreRequest request, List<BundleEffect> effects) {
        nextCallId++;
        calls.put(nextCallId, target);
        effects.add(new BundleEffect.Call(nextCallId, request));
    }

    private void answered(long callId, StoreReply reply, long nowMs, List<BundleEffect> effects) {
        ReadTarget target = calls.remove(callId);
        if (target == null) {
            return;
        }
        switch (reply) {
            case StoreReply.Found found -> found(target, found.object().value(), effects);
            case StoreReply.NotFound none -> notFound(target, effects);
            default -> calls.clear();
        }
        if (headConfirmed && withdrawalsConfirmed && inRound) {
            confirm(roundStartedMs, effects);
        }
        if (calls.isEmpty()) {
            inRound = false;
            if (changedDuringRound) {
                startRound(nowMs, effects);
            }
        }
    }

    private void found(ReadTarget target, byte[] value, List<BundleEffect> effects) {
        switch (target) {
            case ReadTarget.Head head -> head(value, effects);
            case ReadTarget.Content content -> {
                BundleHead head = content.head();
                if (checks.signature() && !sha256(head, value).equals(head.digest())) {
                    effects.add(new BundleEffect.Reject(Source.PLATFORM, Reason.WRONG_CONTENT));
                    return;
                }
                apply(new SignedBundle(head.version(), value, head.signature()), Source.PLATFORM, effects);
                headConfirmed = true;
            }
            case ReadTarget.WithdrawnKeys keySet ->
                withdrawalsConfirmed = mergeWithdrawals(value, Source.PLATFORM, effects);
        }
    }

    private void notFound(ReadTarget target, List<BundleEffect> effects) {
        switch (target) {
            case ReadTarget.Head head -> headConfirmed = true;
            case ReadTarget.Content content ->
                effects.add(new BundleEffect.Reject(Source.PLATFORM, Reason.WRONG_CONTENT));
            case ReadTarget.WithdrawnKeys keySet -> {
                withdrawalsConfirmed = true;
                merge(Withdrawals.NONE, effects);
            }
        }
    }

    private void head(byte[] value, List<BundleEffect> effects) {
        try {
            BundleHead head = BundleHead.read(value);
            if (!isNewer(head.version())) {
                headConfirmed = true;
            } else if (isSigned(head.version(), head.digest(), head.signature())) {
                call(
                        new ReadTarget.Content(head),
                        new StoreRequest.Read(BundleHead.contentKey(head.version())),
                        effects);
            } else {
                throw new UnacceptableBundleException(Reason.BAD_SIGNATURE);
            }
        } catch (UnacceptableBundleException e) {
            // A head without a valid signature names no accepted bundle. It still counts as confirmed, because one
            // invalid head must not make every node refuse work.
            headConfirmed = true;
            effects.add(new BundleEffect.Reject(Source.PLATFORM, e.reason()));
        }
    }

    private void bundleFromPeer(byte[] payload, List<BundleEffect> effects) {
        try {
            apply(SignedBundle.unpack(payload), Source.PEER, effects);
        } catch (UnacceptableBundleException e) {
            effects.add(new BundleEffect.Reject(Source.PEER, e.reason()));
        }
    }

    private void apply(SignedBundle signed, Source source, List<BundleEffect> effects) {
        if (!isNewer(signed.version())) {
            return;
        }
        try {
            if (!isSigned(signed.version(), signed.digest(), signed.signature())) {
                throw new UnacceptableBundleException(Reason.BAD_SIGNATURE);
            }
            Bundle read = BundleJson.read(signed.content());
            if (checks.signature() && !read.version().equals(signed.version())) {
                throw new UnacceptableBundleException(Reason.WRONG_CONTENT);
            }
            bundle = Optional.of(read);
            publishChange(effects);
            effects.add(new BundleEffect.BroadcastBundle(signed.version().value(), signed.pack()));
        } catch (InvalidBundleException e) {
            effects.add(new BundleEffect.Reject(source, Reason.INVALID));
        } catch (UnacceptableBundleException e) {
            effects.add(new BundleEffect.Reject(source, e.reason()));
        }
    }

    private boolean mergeWithdrawals(byte[] value, Source source, List<BundleEffect> effects) {
        try {
            merge(Withdrawals.read(value), effects);
            return true;
        } catch (UnacceptableBundleException e) {
            effects.add(new BundleEffect.Reject(source, e.reason()));
            return false;
        }
    }

    private void merge(Withdrawals other, List<BundleEffect> effects) {
        Withdrawals before = withdrawals.orElse(Withdrawals.NONE);
        Withdrawals merged = checks.version() ? before.merge(other) : other;
        boolean isChanged = withdrawals.isEmpty() || !merged.equals(before);
        withdrawals = Optional.of(merged);
        if (isChanged) {
            publishChange(effects);
            effects.add(new BundleEffect.BroadcastWithdrawals(merged.version(), merged.write()));
        }
    }

    private void peerConfirmed(BundleInput.PeerConfirmed peer, List<BundleEffect> effects) {
        // The peer's confirmation is valid only for its versions; a node with older ones must fetch those first.
        if (hasConfig()
                && bundleVersion() >= peer.bundleVersion()
                && withdrawalsVersion() >= peer.withdrawalsVersion()) {
            confirm(peer.confirmedAtMs(), effects);
        }
    }

    private void confirm(long atMs, List<BundleEffect> effects) {
        if (atMs > confirmedAtMs) {
            confirmedAtMs = atMs;
            publish(effects);
        }
    }

    private void publishChange(List<BundleEffect> effects) {
        if (hasConfig()) {
            keys = KeyTable.of(
                    bundle.orElseThrow().keys(), withdrawals.orElseThrow().keys());
        }
        publish(effects);
    }

    private void publish(List<BundleEffect> effects) {
        long serveUntilMs = Math.max(confirmedAtMs + FRESHNESS_LIMIT_MS, majorityAtMs + MAJORITY_VALID_MS);
        if (!checks.freshness()) {
            serveUntilMs = Long.MAX_VALUE;
        }
        Withdrawals current = withdrawals.orElse(Withdrawals.NONE);
        effects.add(new BundleEffect.Publish(
                new ConfigSnapshot(bundle, current, keys, hasConfig() ? serveUntilMs : Long.MIN_VALUE)));
    }

    private boolean hasConfig() {
        return bundle.isPresent() && withdrawals.isPresent();
    }

    private boolean isNewer(BundleVersion version) {
        return !checks.version()
                || bundle.isEmpty()
                || version.isAfter(bundle.get().version());
    }

    private boolean isSigned(BundleVersion version, String digest, byte[] signature) {
        return !checks.signature() || BundleSignature.verify(operatorKeys, version, digest, signature);
    }

    private static String sha256(BundleHead head, byte[] content) {
        return new SignedBundle(head.version(), content, head.signature()).digest();
    }

    /** What a call to the object API reads. */
    private sealed interface ReadTarget {
        record Head() implements ReadTarget {}

        record Content(BundleHead head) implements ReadTarget {}

        record WithdrawnKeys() implements ReadTarget {}
    }

    /** Lets a test disable one check, to show that the test detects its absence. */
    record Checks(boolean version, boolean freshness, boolean signature) {
        static final Checks ALL = new Checks(true, true, true);
    }
}
