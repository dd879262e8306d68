package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoredObject;
import org.magnoliabridge.ids.ItemId;

/** Simulates runners that share a store and engines on a virtual clock; events come at a fixed rate. */
final class RunnerGroup {
    static final long STEP_MS = 20;
    private static final long EVENT_MS = 36;
    private static final long TICK_MS = 100;

    private final Map<ObjectKey, byte[]> store = new HashMap<>();
    private final Map<String, Long> lengths;
    private final List<EngineState> engines;
    private final List<Runner> runners = new ArrayList<>();
    private final Map<ItemId, Long> committedAtMs = new HashMap<>();
    private final Set<String> generated = new HashSet<>();
    private final Map<String, Long> idleSinceMs = new HashMap<>();
    private final Map<String, Long> longestIdleMs = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private long nowMs;

    /**
     * Creates runners without batches.
     *
     * @param lengths number of events of each item's text
     */
    RunnerGroup(int count, Map<String, Long> lengths, List<EngineState> engines, Set<TextMechanism> mechanisms) {
        this.lengths = Map.copyOf(lengths);
        this.engines = List.copyOf(engines);
        for (int i = 1; i <= count; i++) {
            Runner runner = new Runner("n" + i + "-1", mechanisms);
            runners.add(runner);
            runner.handle(new BatchInput.Routes(Batches.CONFIG_VERSION, Map.of(Batches.ROUTE, Batches.TARGET)));
            runner.handle(new BatchInput.Engines(engines));
        }
    }

    long nowMs() {
        return nowMs;
    }

    void open(int runner, BatchHead head, List<BatchItem> items, boolean newlyAccepted) {
        runners.get(runner).handle(new BatchInput.Open(head, items, newlyAccepted));
    }

    /** Dismisses a runner, as a planned stop or a handover does; its process goes on. */
    void stepDown(int runner) {
        runners.get(runner).handle(new BatchInput.SteppedDown());
    }

    /** Terminates the process of a runner, and with its connections the runs on them. */
    void kill(int runner) {
        runners.get(runner).alive = false;
        runners.get(runner).runs.clear();
    }

    /** Reports to all runners that the process of one of them has terminated. */
    void reportTerminated(int runner) {
        runners.forEach(r -> r.terminated.add(runners.get(runner).name));
    }

    void runUntil(long untilMs) {
        for (; nowMs < untilMs; nowMs += STEP_MS) {
            for (Runner runner : runners) {
                if (runner.alive) {
                    runner.step();
                }
            }
            checkNoDuplicateRun();
            measureIdleItems();
        }
    }

    /** Returns when the result of an item was committed to a log. */
    Optional<Long> committedAtMs(String item) {
        return Optional.ofNullable(committedAtMs.get(new ItemId(item)));
    }

    /** Returns the last event before the start of each run of an item at a runner; 0 for a run from the beginning. */
    List<Long> resumePoints(int runner, String item) {
        return runners.get(runner).started.getOrDefault(item, List.of());
    }

    /** Returns the longest time for which an item without a whole text was at no engine. */
    long longestIdleMs(String item) {
        return longestIdleMs.getOrDefault(item, 0L);
    }

    List<String> violations() {
        return violations;
    }

    // A run that resumes after events of another one must be the only run of its item.
    private void checkNoDuplicateRun() {
        Map<String, List<ActiveRun>> byItem = new TreeMap<>();
        runners.forEach(r -> r.runs.values()
                .forEach(a -> byItem.computeIfAbsent(a.run.item().id().value(), i -> new ArrayList<>())
                        .add(a)));
        byItem.forEach((item, active) -> {
            if (active.size() > 1 && active.stream().anyMatch(a -> a.run.lastEvent() > 0)) {
                violations.add(nowMs + " ms: item " + item + " was resumed while another run of it is active");
            }
        });
    }

    private void measureIdleItems() {
        Set<String> running = new HashSet<>();
        runners.forEach(
                r -> r.runs.values().forEach(a -> running.add(a.run.item().id().value())));
        for (String item : lengths.keySet()) {
            if (running.contains(item) || generated.contains(item)) {
                idleSinceMs.remove(item);
            } else {
                long sinceMs = idleSinceMs.computeIfAbsent(item, i -> nowMs);
                longestIdleMs.merge(item, nowMs - sinceMs, Math::max);
            }
        }
    }

    private static final class ActiveRun {
        final ItemRun run;
        final long startedMs;
        long reported;

        ActiveRun(ItemRun run, long startedMs) {
            this.run = run;
            this.startedMs = startedMs;
        }
    }

    private final class Runner {
        final String name;
        final BatchCore core;
        final List<String> terminated = new ArrayList<>();
        final Map<ItemRunId, ActiveRun> runs = new LinkedHashMap<>();
        final Map<String, List<Long>> started = new HashMap<>();
        boolean alive = true;

        Runner(String name, Set<TextMechanism> mechanisms) {
            this.name = name;
            core = new BatchCore(
                    name, () -> nowMs, terminated::contains, EnumSet.allOf(BatchMechanism.class), mechanisms);
        }

        void step() {
            for (ActiveRun active : List.copyOf(runs.values())) {
                if (generatedCount(active) >= length(active)) {
                    runs.remove(active.run.id());
                    generated.add(active.run.item().id().value());
                    handle(new BatchInput.RunEnded(
                            active.run.id(), new RunOutcome.Completed(), events(active, 0, length(active))));
                }
            }
            if (nowMs % TICK_MS == 0) {
                Map<ItemRunId, List<Transcript.Event>> newEvents = new HashMap<>();
                for (ActiveRun active : runs.values()) {
                    long count = generatedCount(active);
                    newEvents.put(active.run.id(), events(active, active.reported, count));
                    active.reported = count;
                }
                handle(new BatchInput.Progress(newEvents));
                handle(new BatchInput.Engines(engines));
                handle(new BatchInput.Tick());
            }
        }

        void handle(BatchInput input) {
            List<BatchEffect> effects = core.on(nowMs, input);
            for (BatchEffect effect : effects) {
                switch (effect) {
                    case BatchEffect.StartRun start -> {
                        runs.put(start.run().id(), new ActiveRun(start.run(), nowMs));
                        started.computeIfAbsent(start.run().item().id().value(), i -> new ArrayList<>())
                                .add(start.run().lastEvent());
                    }
                    case BatchEffect.StopRun stop -> {
                        ActiveRun active = runs.remove(stop.run());
                        if (active != null) {
                            handle(new BatchInput.RunEnded(
                                    stop.run(), new RunOutcome.Stopped(), events(active, 0, generatedCount(active))));
                        }
                    }
                    case BatchEffect.Store request ->
                        handle(new BatchInput.StoreReplied(request.tag(), perform(request.request())));
                    case BatchEffect.StartScoring scoring -> throw new IllegalStateException("no item has a scorer");
                    case BatchEffect.StopScoring scoring -> throw new IllegalStateException("no item has a scorer");
                    case BatchEffect.Answer answer -> {}
                    case BatchEffect.Observe observe -> {}
                    case BatchEffect.Log log -> {}
                }
            }
        }

        private long length(ActiveRun active) {
            return lengths.get(active.run.item().id().value()) - active.run.lastEvent();
        }

        private long generatedCount(ActiveRun active) {
            return Math.min(length(active), (nowMs - active.startedMs) / EVENT_MS);
        }

        private List<Transcript.Event> events(ActiveRun active, long from, long to) {
            List<Transcript.Event> events = new ArrayList<>();
            for (long n = from + 1; n <= to; n++) {
                long number = active.run.lastEvent() + n;
                events.add(Batches.event(number, text(active.run.item().id().value(), number), 1));
            }
            return events;
        }
    }

    private static String text(String item, long event) {
        return item + "#" + event;
    }

    private StoreReply perform(StoreRequest request) {
        return switch (request) {
            case StoreRequest.Read read -> {
                byte[] value = store.get(read.key());
                yield value == null
                        ? new StoreReply.NotFound()
                        : new StoreReply.Found(new StoredObject(read.key(), 1, value));
            }
            case StoreRequest.Write write -> {
                if (write.expectedVersion() != ObjectStore.ABSENT || store.containsKey(write.key())) {
                    yield new StoreReply.Conflict();
                }
                store.put(write.key(), write.value());
                checkSegment(write.value());
                yield new StoreReply.Written(1);
            }
            default -> throw new IllegalArgumentException("unexpected request, logs only read and write: " + request);
        };
    }

    private void checkSegment(byte[] segment) {
        try {
            for (ItemResult result : BatchCodec.segment(segment).results()) {
                committedAtMs.putIfAbsent(result.item(), nowMs);
                String item = result.item().value();
                StringBuilder expected = new StringBuilder();
                for (long n = 1; n <= lengths.get(item); n++) {
                    expected.append(n == 1 ? "" : "\n").append(text(item, n));
                }
                if (!result.text().contentEquals(expected)) {
                    violations.add("the text of item " + item + " is incomplete or wrong");
                }
            }
        } catch (MalformedBatchException e) {
            violations.add("a segment cannot be read: " + e.getMessage());
        }
    }
}
