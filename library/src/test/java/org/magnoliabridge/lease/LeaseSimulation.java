package org.magnoliabridge.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.magnoliabridge.core.SuspensionDetector;
import org.magnoliabridge.external.CallPermit;
import org.magnoliabridge.external.MemoryStore;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;

/**
 * Simulates nodes that acquire one lease and make calls under it, with faults at random times, and records the order in
 * which the calls arrive.
 *
 * <p>Times are in milliseconds. Each node has a monotonic clock that stands still while the node is suspended.
 */
final class LeaseSimulation {
    static final LeaseSettings SETTINGS = new LeaseSettings(3_000, 1_000, 750, 428, 150);
    /** Longest time from the last check of the lease to the arrival of a call, and from its admission to that check. */
    static final int CALL_LIMIT_MS = 350;

    private static final ObjectKey KEY = new ObjectKey("leases/duties");
    private static final long THAW_MS = 300;
    private static final int NODES = 3;
    private static final long RUN_MS = 60_000;
    private static final long TICK_MS = 50;
    private static final long STORE_LATENCY_MS = 4;
    private static final long STORE_LIMIT_MS = 500;
    private static final long MIN_FAULT_GAP_MS = 300;
    private static final int MAX_FAULT_GAP_MS = 4_000;
    private static final int MAX_FAULT_MS = 6_000;
    private static final int HOLDER_FAULTS_OF_10 = 7;

    /** A fault that the simulation injects. */
    enum Fault {
        /** The node stands still while its monotonic clock goes on. */
        FREEZE,
        /** The node and its monotonic clock stand still. */
        SUSPEND,
        /** The store receives no call of the node, or the node no answer. */
        CUT,
        /** The node releases the lease, stops and starts again. */
        STOP,
        /** The process ends at once and starts again. */
        KILL
    }

    /** A call that arrived, with the time at which its sender was last thawed. */
    record Arrival(long atMs, String node, FencingToken fencing, long senderThawedMs) {}

    private record Event(long atMs, long sequence, Runnable action) {}

    private final List<Arrival> arrivals = new ArrayList<>();
    private final Random random;
    private final List<Fault> faults;
    private final Set<LeaseMechanism> disabled;
    private final MemoryStore store = new MemoryStore();
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private long sequence;
    private long nowMs;

    LeaseSimulation(long seed, Set<Fault> faults, Set<LeaseMechanism> disabled) {
        this.random = new Random(seed);
        this.faults = faults.stream().sorted().toList();
        this.disabled = disabled;
    }

    /**
     * Plays one minute and returns the calls in the order of their arrival, without those that arrived so soon after
     * their sender was thawed that it could not have held them back.
     */
    List<Arrival> run() {
        for (int i = 0; i < NODES; i++) {
            Node node = new Node("node-" + i);
            nodes.add(node);
            node.start();
        }
        chooseCandidate();
        injectFault();
        while (!events.isEmpty() && events.peek().atMs() <= RUN_MS) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        return arrivals.stream()
                .filter(a -> a.atMs() - a.senderThawedMs() > THAW_MS)
                .toList();
    }

    private void at(long atMs, Runnable action) {
        events.add(new Event(atMs, sequence++, action));
    }

    private long upTo(int limitMs) {
        return 1L + random.nextInt(limitMs);
    }

    private void chooseCandidate() {
        int chosen = random.nextInt(NODES);
        for (int i = 0; i < NODES; i++) {
            nodes.get(i).candidate = i == chosen;
        }
        at(nowMs + 200 + upTo(2_000), this::chooseCandidate);
    }

    private void injectFault() {
        Node target = nodes.stream()
                .filter(n -> n.alive && n.core.view().held() && random.nextInt(10) < HOLDER_FAULTS_OF_10)
                .findFirst()
                .orElseGet(() -> nodes.get(random.nextInt(NODES)));
        target.suffer(faults.get(random.nextInt(faults.size())));
        at(nowMs + MIN_FAULT_GAP_MS + upTo(MAX_FAULT_GAP_MS), this::injectFault);
    }

    /** One machine, with the process that runs on it. */
    private final class Node {
        private final String name;
        private LeaseCore core;
        private SuspensionDetector suspensions;
        private long handledSuspensions;
        private LeaseGate gate;
        private boolean candidate;
        private boolean alive;
        private int incarnation;
        private long stillUntilMs;
        private long thawedMs = Long.MIN_VALUE / 2;
        private long suspendedMs;
        private long cutUntilMs;

        Node(String name) {
            this.name = name;
        }

        void start() {
            incarnation++;
            alive = true;
            core = new LeaseCore(KEY, new NodeId(name), new Incarnation(incarnation), SETTINGS, clockMs(), disabled);
            suspensions = new SuspensionDetector(this::clockMs, () -> nowMs);
            handledSuspensions = 0;
            gate = new LeaseGate(this::clockMs, suspensions);
            tick(incarnation);
        }

        void suffer(Fault fault) {
            long durationMs = upTo(MAX_FAULT_MS);
            if (!alive || nowMs < stillUntilMs) {
                return;
            }
            switch (fault) {
                case FREEZE -> stillUntilMs = nowMs + durationMs;
                case SUSPEND -> {
                    stillUntilMs = nowMs + durationMs;
                    suspendedMs += durationMs;
                }
                case CUT -> cutUntilMs = nowMs + durationMs;
                case STOP -> {
                    int stopped = incarnation;
                    CompletableFuture<Void> unused =
                            gate.close().thenRun(() -> whenRunning(stopped, () -> execute(core.release(clockMs()))));
                    endAndRestart(CALL_LIMIT_MS + STORE_LIMIT_MS + durationMs);
                }
                case KILL -> endAndRestart(0);
                default -> throw new IllegalStateException("unknown fault " + fault);
            }
            if (nowMs < stillUntilMs) {
                at(stillUntilMs, () -> thawedMs = nowMs);
            }
        }

        private void endAndRestart(long afterMs) {
            int ended = incarnation;
            at(nowMs + afterMs, () -> {
                if (ended == incarnation && alive) {
                    alive = false;
                    at(nowMs + 200 + upTo(2_000), this::start);
                }
            });
        }

        // While the node is suspended nothing reads its clock, so the whole time is subtracted from the start on.
        private long clockMs() {
            return nowMs - suspendedMs;
        }

        /** Runs an action of the current process, once the node does not stand still. */
        private void whenRunning(int process, Runnable action) {
            if (!alive || process != incarnation) {
                return;
            }
            if (nowMs < stillUntilMs) {
                at(stillUntilMs, () -> whenRunning(process, action));
            } else {
                action.run();
            }
        }

        private void tick(int process) {
            whenRunning(process, () -> {
                handleSuspension();
                core.setCandidate(candidate);
                execute(core.onTick(clockMs()));
                if (core.view().maySend(clockMs())) {
                    decideCall(process);
                }
                at(nowMs + TICK_MS, () -> tick(process));
            });
        }

        private void decideCall(int process) {
            FencingToken decided = core.view().fencing();
            long preparationMs = random.nextBoolean() ? 0 : upTo(CALL_LIMIT_MS);
            at(
                    nowMs + preparationMs,
                    () -> whenRunning(
                            process, () -> gate.admit(decided).ifPresent(permit -> connect(process, permit))));
        }

        private void connect(int process, CallPermit permit) {
            at(
                    nowMs + upTo(CALL_LIMIT_MS),
                    () -> whenRunning(process, () -> {
                        if (permit.isValid()) {
                            write(process, permit);
                        } else {
                            permit.close();
                        }
                    }));
        }

        private void write(int process, CallPermit permit) {
            at(nowMs + upTo(CALL_LIMIT_MS), () -> {
                arrive(permit.fencing());
                whenRunning(process, permit::close);
            });
        }

        private void arrive(FencingToken fencing) {
            arrivals.add(new Arrival(nowMs, name, fencing, thawedMs));
        }

        private void execute(List<LeaseEffect> effects) {
            gate.update(core.view(), handledSuspensions);
            for (LeaseEffect effect : effects) {
                if (effect instanceof LeaseEffect.Call call) {
                    ask(call);
                }
            }
        }

        private void ask(LeaseEffect.Call call) {
            int process = incarnation;
            boolean cut = nowMs < cutUntilMs;
            if (cut && random.nextBoolean()) {
                at(nowMs + STORE_LIMIT_MS, () -> reply(process, call, unknown(call)));
                return;
            }
            at(nowMs + STORE_LATENCY_MS, () -> {
                StoreReply reply = StoreRunner.perform(store, call.request());
                if (cut) {
                    at(nowMs + STORE_LIMIT_MS, () -> reply(process, call, unknown(call)));
                } else {
                    at(nowMs + STORE_LATENCY_MS, () -> reply(process, call, reply));
                }
            });
        }

        private StoreReply unknown(LeaseEffect.Call call) {
            return call.request() instanceof StoreRequest.Write
                    ? new StoreReply.Unknown()
                    : new StoreReply.Unavailable();
        }

        private void reply(int process, LeaseEffect.Call call, StoreReply reply) {
            whenRunning(process, () -> {
                handleSuspension();
                execute(core.onReply(clockMs(), call.callId(), reply));
            });
        }

        private void handleSuspension() {
            long detected = suspensions.detected();
            if (detected != handledSuspensions) {
                handledSuspensions = detected;
                execute(core.onSuspension(clockMs()));
            }
        }
    }

    /** Returns the first call with a lower token than an earlier one or with the token of another holder, if any. */
    static Optional<String> staleCall(List<Arrival> calls) {
        Arrival newest = calls.get(0);
        for (Arrival call : calls) {
            if (newest.fencing().isAfter(call.fencing())) {
                return Optional.of(call + " after " + newest);
            }
            if (newest.fencing().equals(call.fencing()) && !newest.node().equals(call.node())) {
                return Optional.of(call + " with the token of " + newest);
            }
            newest = call;
        }
        return Optional.empty();
    }

    /** Returns the first two calls of a node within the lease duration with one of another node in between, if any. */
    static Optional<String> turn(List<Arrival> calls) {
        return IntStream.range(0, calls.size())
                .mapToObj(i -> turn(calls.subList(0, i), calls.get(i)))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static Optional<String> turn(List<Arrival> before, Arrival call) {
        Optional<Arrival> other = Optional.empty();
        for (int i = before.size() - 1; i >= 0; i--) {
            Arrival earlier = before.get(i);
            if (call.atMs() - earlier.atMs() >= SETTINGS.durationMs()) {
                return Optional.empty();
            }
            boolean same = earlier.node().equals(call.node());
            if (same && other.isPresent()) {
                return Optional.of(earlier + ", " + other.get() + ", " + call);
            }
            other = same ? other : Optional.of(earlier);
        }
        return Optional.empty();
    }
}
