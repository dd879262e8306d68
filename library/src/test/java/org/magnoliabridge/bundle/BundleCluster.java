package org.magnoliabridge.bundle;

import java.security.InvalidKeyException;
import java.security.KeyPair;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import org.magnoliabridge.bundle.BundleCore.Checks;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.ids.BundleVersion;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.keys.KeyTable;
import org.magnoliabridge.keys.TeamKey;

/** Cores of several nodes on a virtual clock, an operator, and a checker that knows only the operator's actions. */
final class BundleCluster {
    private static final long STEP_MS = 100;
    // The time limit of I6: the freshness limit, and 3 s in which a change must arrive at every reachable node.
    private static final long WITHDRAWAL_LIMIT_MS = 13_000;
    private static final int WATCHERS = 2;

    final MemoryStore store = new MemoryStore();
    final List<String> violations = new ArrayList<>();
    private final KeyPair keys = BundleSignature.generateKeys();
    private final BundleStore operator = new BundleStore(store, new SecureRandom());
    private final Checks checks;
    private final BundleCore[] cores;
    private final ConfigSnapshot[] snapshots;
    private final long[] seenVersion;
    private final Set<Integer> cut = new HashSet<>();
    private final Set<Integer> paused = new HashSet<>();
    private final List<byte[]> accepted = new ArrayList<>();
    private final TeamKey key;
    private DelayedReplies delayed = new DelayedReplies(-1);
    private long withdrawnAtMs = Long.MAX_VALUE;
    private final Queue<Runnable> queue = new ArrayDeque<>();
    private long nowMs = 1_000_000;

    BundleCluster(int nodes, Checks checks) throws Exception {
        this.checks = checks;
        cores = new BundleCore[nodes];
        snapshots = new ConfigSnapshot[nodes];
        seenVersion = new long[nodes];
        key = TeamKey.generate(new KeyId("victim"), new SecureRandom());
        Bundle first = BundleJsonTest.sample();
        BundleStoreTest.roll(operator, first.withKeys(List.of(key.entry(new TeamId("anvil")))), keys.getPrivate());
        recordAccepted();
        for (int i = 0; i < nodes; i++) {
            restart(i);
        }
    }

    void restart(int node) {
        cores[node] = new BundleCore(List.of(keys.getPublic()), checks);
        snapshots[node] = ConfigSnapshot.EMPTY;
        seenVersion[node] = 0;
        input(node, new BundleInput.Watcher(node < WATCHERS));
    }

    void roll() throws Exception {
        BundleStoreTest.roll(operator, operator.current().orElseThrow(), keys.getPrivate());
        recordAccepted();
    }

    void withdraw() throws Exception {
        operator.withdrawKey(key.id());
        withdrawnAtMs = nowMs;
    }

    SignedBundle signedHead() throws Exception {
        return BundleSignature.sign(operator.current().orElseThrow(), keys.getPrivate());
    }

    SignedBundle forged() throws Exception {
        Bundle higher = operator.current().orElseThrow().withVersion(new BundleVersion(99));
        return BundleSignature.sign(higher, BundleSignature.generateKeys().getPrivate());
    }

    void cut(Integer... nodes) {
        cut.addAll(Arrays.asList(nodes));
    }

    void pause(int node) {
        paused.add(node);
    }

    void heal() {
        cut.clear();
        paused.clear();
    }

    boolean hasChecksDisabled() {
        return !checks.equals(Checks.ALL);
    }

    boolean serves(int node) {
        return snapshots[node].servesKeyed(nowMs);
    }

    int servingNodes() {
        int count = 0;
        for (int i = 0; i < cores.length; i++) {
            count += serves(i) ? 1 : 0;
        }
        return count;
    }

    void requireEverywhere(long version) {
        for (int i = 0; i < cores.length; i++) {
            if (cores[i].bundleVersion() != version) {
                violations.add("node " + i + " has version " + cores[i].bundleVersion() + ", not " + version);
            }
        }
    }

    DelayedReplies delayReplies(int node) {
        delayed = new DelayedReplies(node);
        return delayed;
    }

    void run(long durationMs) {
        for (long end = nowMs + durationMs; nowMs < end; ) {
            nowMs += STEP_MS;
            for (int i = 0; i < cores.length; i++) {
                if (!paused.contains(i)) {
                    input(i, new BundleInput.Tick());
                }
            }
            if (nowMs % 1_000 == 0) {
                exchange();
            }
            for (int i = 0; i < cores.length; i++) {
                check(i);
            }
        }
    }

    // Inputs that follow from effects are queued, as in the control loop, so that effects are performed in order.
    void input(int node, BundleInput input) {
        queue.add(() -> handle(node, input));
        if (queue.size() == 1) {
            while (!queue.isEmpty()) {
                queue.peek().run();
                queue.remove();
            }
        }
    }

    private void handle(int node, BundleInput input) {
        for (BundleEffect effect : cores[node].handle(input, nowMs)) {
            switch (effect) {
                case BundleEffect.Publish p -> snapshots[node] = p.snapshot();
                case BundleEffect.Call call -> answer(node, call);
                case BundleEffect.BroadcastBundle s -> spread(node, new BundleInput.BundleFromPeer(s.payload()));
                case BundleEffect.BroadcastWithdrawals s ->
                    spread(node, new BundleInput.WithdrawalsFromPeer(s.payload()));
                case BundleEffect.Reject reject -> {}
            }
        }
        check(node);
    }

    // Nodes that are cut off reach each other, but neither the platform nor the other nodes.
    private void answer(int node, BundleEffect.Call call) {
        BundleInput.Answered answered = new BundleInput.Answered(
                call.callId(), cut.contains(node) ? new StoreReply.Unavailable() : store.answer(call.request()));
        if (node == delayed.node && !delayed.released) {
            delayed.held.add(answered);
        } else {
            input(node, answered);
        }
    }

    private void spread(int from, BundleInput item) {
        if (!checks.version()) {
            return; // Without the version check, two nodes would send each other their copies forever.
        }
        for (int to = 0; to < cores.length; to++) {
            if (reaches(from, to)) {
                input(to, item);
            }
        }
    }

    private void exchange() {
        for (int a = 0; a < cores.length; a++) {
            int reached = 1;
            for (int b = 0; b < cores.length; b++) {
                if (reaches(a, b)) {
                    reached++;
                    fetchIfBehind(a, b);
                    long at = cores[b].confirmedAtMs();
                    input(
                            a,
                            new BundleInput.PeerConfirmed(cores[b].bundleVersion(), cores[b].withdrawalsVersion(), at));
                }
            }
            if (!paused.contains(a)) {
                input(a, new BundleInput.Majority(2 * reached > cores.length));
            }
        }
    }

    private void fetchIfBehind(int to, int from) {
        ConfigSnapshot theirs = snapshots[from];
        if (cores[from].bundleVersion() > cores[to].bundleVersion()) {
            SignedBundle signed = signed(theirs.bundle().orElseThrow());
            input(to, new BundleInput.BundleFromPeer(signed.pack()));
        }
        input(to, new BundleInput.WithdrawalsFromPeer(theirs.withdrawals().write()));
    }

    private SignedBundle signed(Bundle bundle) {
        try {
            return BundleSignature.sign(bundle, keys.getPrivate());
        } catch (InvalidKeyException e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean reaches(int a, int b) {
        boolean running = !paused.contains(a) && !paused.contains(b);
        return a != b && running && cut.contains(a) == cut.contains(b);
    }

    private void recordAccepted() throws Exception {
        accepted.add(BundleJson.write(operator.current().orElseThrow()));
    }

    private void check(int node) {
        ConfigSnapshot s = snapshots[node];
        long version = s.bundle().map(b -> b.version().value()).orElse(0L);
        if (version < seenVersion[node]) {
            violations.add("node " + node + " reverted from " + seenVersion[node] + " to " + version);
        }
        seenVersion[node] = Math.max(version, seenVersion[node]);
        if (s.bundle().isPresent()) {
            byte[] json = BundleJson.write(s.bundle().get());
            if (accepted.stream().noneMatch(a -> Arrays.equals(a, json))) {
                violations.add("node " + node + " applied a bundle that no operator rolled");
            }
        }
        boolean works = s.servesKeyed(nowMs) && s.keys().authenticate(key.reveal()) instanceof KeyTable.Known;
        if (works && nowMs - WITHDRAWAL_LIMIT_MS > withdrawnAtMs) {
            violations.add("node " + node + " served a key " + (nowMs - withdrawnAtMs) + " ms after its withdrawal");
        }
    }

    /** Delays the platform's replies to one node until they are released in order. */
    final class DelayedReplies {
        private final int node;
        private final Queue<BundleInput> held = new ArrayDeque<>();
        private boolean released;

        private DelayedReplies(int node) {
            this.node = node;
        }

        void release() {
            released = true;
            held.forEach(answer -> input(node, answer));
        }
    }
}
