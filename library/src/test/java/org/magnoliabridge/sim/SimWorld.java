package org.magnoliabridge.sim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;

/**
 * A deterministic simulation on virtual time, with hosts that can crash and pause. Effects are numbered in order, and
 * faults can be injected into them by number.
 */
public abstract class SimWorld {
    static final long LATENCY_MS = 1;
    static final long CLIENT_TIMEOUT_MS = 1_000;
    /** Longer than a lease (10 s). */
    static final long DELAY_MS = 15_000;
    /** Longer than a lease (10 s) and than the period after a claim in which its call may be sent (30 s). */
    protected static final long PAUSE_MS = 40_000;

    static final long RESTART_MS = 2_000;

    /** What a request does at its target. */
    @FunctionalInterface
    protected interface Action<T> {
        T run();
    }

    private record Event(long time, long order, Runnable action) {}

    protected final SimStore store = new SimStore();
    protected long now;

    /** Whether the running action was delayed in transit; its host then made its checks when sending, not now. */
    protected boolean delayedInTransit;

    private final Map<Integer, Fault> faults;
    private final List<String> kinds = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::order));
    private long order;
    private long checks;

    protected SimWorld(Map<Integer, Fault> faults) {
        this.faults = faults;
    }

    /** A process. Its pending inputs are dropped when it crashes and delayed while it is paused. */
    protected final class Host {
        final Runnable start;
        private int incarnation;
        private boolean up = true;
        private long resumeAtMs;

        public Host(Runnable start) {
            this.start = start;
        }

        public void after(long delayMs, Runnable input) {
            int expectedIncarnation = incarnation;
            at(delayMs, () -> deliver(expectedIncarnation, input));
        }

        private void deliver(int expectedIncarnation, Runnable input) {
            if (up && incarnation == expectedIncarnation) {
                if (resumeAtMs > now) {
                    after(resumeAtMs - now, input);
                } else {
                    input.run();
                }
            }
        }

        public void every(long periodMs, Runnable input) {
            after(periodMs, () -> {
                input.run();
                every(periodMs, input);
            });
        }

        /** Returns whether the process is paused. */
        public boolean isPaused() {
            return resumeAtMs > now;
        }

        public boolean isUp() {
            return up;
        }

        public void crash() {
            if (up) {
                up = false;
                incarnation++;
                onCrash(this);
                at(RESTART_MS, () -> {
                    up = true;
                    resumeAtMs = 0;
                    start.run();
                });
            }
        }
    }

    /** Called when a host has crashed, for checkers that make exceptions for crashes. */
    protected void onCrash(Host host) {}

    /** Called when a host is paused. */
    protected void onPause(Host host) {}

    /** Returns whether the run can end because no further event can affect a check. */
    protected boolean isDone() {
        return false;
    }

    /** Checks all invariants; called after every event. */
    protected abstract void check();

    protected final void at(long delayMs, Runnable action) {
        events.add(new Event(now + delayMs, order++, action));
    }

    /** Makes the store unavailable between two times. */
    protected final void storeOutage(long fromMs, long toMs) {
        at(fromMs - now, () -> store.unavailable = true);
        at(toMs - now, () -> store.unavailable = false);
    }

    protected final void runUntil(long endMs) {
        while (!events.isEmpty() && events.peek().time() <= endMs && !isDone()) {
            Event next = events.poll();
            now = next.time();
            next.action().run();
            check();
            checks++;
        }
    }

    protected final void storeCall(Host host, StoreRequest request, Consumer<StoreReply> reply) {
        String kind = "store " + request.getClass().getSimpleName();
        sendRequest(host, kind, true, () -> store.apply(request), reply, new StoreReply.Unknown());
    }

    /**
     * Sends a request that has an answer.
     *
     * @param repeatable whether a duplicated request takes effect twice
     * @param lost the reply on a timeout of the client
     */
    protected final <T> void sendRequest(
            Host host, String kind, boolean repeatable, Action<T> action, Consumer<T> reply, T lost) {
        if (!host.up) {
            return;
        }
        if (host.resumeAtMs > now) {
            host.after(0, () -> sendRequest(host, kind, repeatable, action, reply, lost));
            return;
        }
        Consumer<T> back = answer -> host.after(LATENCY_MS, () -> reply.accept(answer));
        Fault fault = nextFault(kind);
        switch (fault) {
            case CRASH_BEFORE -> host.crash();
            case CRASH_AFTER -> {
                at(LATENCY_MS, action::run);
                host.crash();
            }
            case REPLY_LOST -> {
                at(LATENCY_MS, action::run);
                host.after(CLIENT_TIMEOUT_MS, () -> reply.accept(lost));
            }
            case REPLY_DELAYED -> {
                host.after(CLIENT_TIMEOUT_MS, () -> reply.accept(lost));
                at(LATENCY_MS, () -> {
                    T answer = action.run();
                    host.after(DELAY_MS, () -> reply.accept(answer));
                });
            }
            case EFFECT_LATE -> {
                host.after(CLIENT_TIMEOUT_MS, () -> reply.accept(lost));
                at(DELAY_MS, () -> {
                    delayedInTransit = true;
                    action.run();
                    delayedInTransit = false;
                });
            }
            case DUPLICATE ->
                at(LATENCY_MS, () -> {
                    T answer = action.run();
                    back.accept(answer);
                    at(LATENCY_MS, () -> back.accept(repeatable ? action.run() : answer));
                });
            case PAUSE -> {
                pause(host);
                host.after(0, () -> at(0, () -> back.accept(action.run())));
            }
            case SILENT -> {}
            case null, default -> at(LATENCY_MS, () -> back.accept(action.run()));
        }
    }

    /** Sends a one-way message. */
    protected final void sendMessage(Host host, String kind, Runnable delivery) {
        if (!host.up) {
            return;
        }
        if (host.resumeAtMs > now) {
            host.after(0, () -> sendMessage(host, kind, delivery));
            return;
        }
        Fault fault = nextFault(kind);
        switch (fault) {
            case CRASH_BEFORE -> host.crash();
            case CRASH_AFTER -> {
                at(LATENCY_MS, delivery);
                host.crash();
            }
            case REPLY_LOST, SILENT -> {}
            case REPLY_DELAYED, EFFECT_LATE -> at(DELAY_MS, delivery);
            case DUPLICATE -> {
                at(LATENCY_MS, delivery);
                at(LATENCY_MS + 1, delivery);
            }
            case PAUSE -> {
                pause(host);
                host.after(0, delivery);
            }
            case null, default -> at(LATENCY_MS, delivery);
        }
    }

    private void pause(Host host) {
        host.resumeAtMs = now + PAUSE_MS;
        onPause(host);
    }

    private Fault nextFault(String kind) {
        kinds.add(kind);
        return faults.get(kinds.size() - 1);
    }

    protected final void require(boolean holds, String invariant) {
        if (!holds && !violations.contains(invariant)) {
            violations.add(invariant);
        }
    }

    public final List<String> kinds() {
        return kinds;
    }

    public final List<String> violations() {
        return violations;
    }

    final long checks() {
        return checks;
    }
}
