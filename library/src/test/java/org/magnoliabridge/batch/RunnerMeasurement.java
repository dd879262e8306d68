package org.magnoliabridge.batch;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.gateway.BatchTerms;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.RouteId;
import org.magnoliabridge.ids.WeightVersion;

/**
 * Measures the processor time that {@link BatchCore} takes per simulated second with three trainers; run by
 * {@code bin/measure-runner [engines] [seconds]}.
 */
public final class RunnerMeasurement {
    private static final int TRAINERS = 3;
    private static final int ITEMS = 140;
    private static final int PER_GROUP = 4;
    private static final int SLOTS = 8;
    private static final long STEP_MS = 10;
    private static final long TICK_MS = 100;
    private static final long BATCH_MS = 4_000;
    private static final long EVENT_MS = 145;
    private static final long LOAD_MS = 1_000;
    private static final long STORE_MS = 30;
    private static final long READ_WAIT_MS = 500;
    private static final long WARM_UP_MS = 20_000;
    private static final int SHOWN_FRAMES = 14;

    private final BatchCore core = new BatchCore("n1-1", () -> this.nowMs, process -> false);
    private final int engineCount;
    private final Random random = new Random(31);
    private final Map<ItemRunId, Generated> runs = new LinkedHashMap<>();
    private final PriorityQueue<Timed> timed = new PriorityQueue<>(Comparator.comparingLong(Timed::atMs));
    private final Map<Long, BatchInput.Read> reads = new HashMap<>();
    private final Map<String, Long> lengths = new HashMap<>();
    private final Map<String, long[]> costs = new TreeMap<>();
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final WeightVersion[][] weights;
    private final String[] open = {"", "", ""};
    private long nowMs;
    private long lastBatch;
    private long lastTicket;
    private long eventCount;
    private volatile boolean inCore;

    private record Timed(long atMs, BatchInput input) {}

    private static final class Generated {
        final ItemRun run;
        final long startedMs;
        final List<Transcript.Event> events = new ArrayList<>();
        int reported;

        Generated(ItemRun run, long startedMs) {
            this.run = run;
            this.startedMs = startedMs;
        }
    }

    private RunnerMeasurement(int engineCount) {
        this.engineCount = engineCount;
        this.weights = new WeightVersion[engineCount][TRAINERS];
        for (WeightVersion[] engine : weights) {
            Arrays.fill(engine, new WeightVersion(1));
        }
    }

    /** Prints the processor time per simulated second of each input, and the methods that a sampler saw most. */
    public static void main(String[] args) throws InterruptedException {
        int engines = args.length > 0 ? Integer.parseInt(args[0]) : 31;
        int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 40;
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        RunnerMeasurement measurement = new RunnerMeasurement(engines);
        measurement.run(WARM_UP_MS);
        measurement.costs.clear();
        measurement.eventCount = 0;
        Map<String, Integer> samples = new ConcurrentHashMap<>();
        Thread sampler = measurement.startSampler(Thread.currentThread(), samples);
        measurement.run(WARM_UP_MS + seconds * 1_000L);
        sampler.interrupt();
        sampler.join();
        measurement.print(out, seconds, samples);
    }

    private void run(long untilMs) {
        if (nowMs == 0) {
            Map<RouteId, BatchTarget> routes = new HashMap<>();
            for (int t = 0; t < TRAINERS; t++) {
                routes.put(route(t), Batches.TARGET);
            }
            handle(new BatchInput.Routes(Batches.CONFIG_VERSION, routes));
        }
        for (; nowMs < untilMs; nowMs += STEP_MS) {
            for (int t = 0; t < TRAINERS; t++) {
                if ((nowMs + t * BATCH_MS / TRAINERS) % BATCH_MS < STEP_MS) {
                    submit(t);
                }
            }
            generate();
            while (!timed.isEmpty() && timed.peek().atMs() <= nowMs) {
                handle(timed.poll().input());
            }
            if (nowMs % TICK_MS == 0) {
                tick();
            }
        }
    }

    private void tick() {
        for (int t = 0; t < TRAINERS; t++) {
            handle(new BatchInput.NewestVersion(model(t), newest()));
        }
        Map<ItemRunId, List<Transcript.Event>> progress = new HashMap<>();
        for (Generated run : runs.values()) {
            progress.put(run.run.id(), List.copyOf(run.events.subList(run.reported, run.events.size())));
            run.reported = run.events.size();
        }
        handle(new BatchInput.Progress(progress));
        handle(new BatchInput.Tick());
        List<EngineState> engines = new ArrayList<>();
        for (int e = 0; e < engineCount; e++) {
            engines.add(engine(e));
        }
        handle(new BatchInput.Engines(engines));
    }

    // One engine in four loads each new version, one after the other in the period of a batch.
    private EngineState engine(int number) {
        long offsetMs = (long) number * BATCH_MS / engineCount;
        boolean loading = (nowMs + offsetMs) % BATCH_MS < LOAD_MS;
        Map<ModelId, WeightVersion> held = new HashMap<>();
        for (int t = 0; t < TRAINERS; t++) {
            if (loading) {
                weights[number][t] = newest();
            }
            held.put(model(t), weights[number][t]);
        }
        return new EngineState(Batches.endpoint("engine-" + number), SLOTS, held, loading ? held.keySet() : Set.of());
    }

    private WeightVersion newest() {
        return new WeightVersion(1 + nowMs / BATCH_MS);
    }

    private void submit(int trainer) {
        if (!open[trainer].isEmpty()) {
            handle(new BatchInput.End(new BatchId(open[trainer])));
        }
        String id = "t" + trainer + "-b" + ++lastBatch;
        open[trainer] = id;
        List<BatchItem> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            String item = id + "-i" + i;
            long events = random.nextDouble() < 0.08 ? 60 + random.nextInt(60) : 5 + random.nextInt(20);
            lengths.put(item, events);
            items.add(Batches.item(item, id + "-g" + i / PER_GROUP, events * Batches.TARGET.tokensPerEvent()));
        }
        BatchHead head = new BatchHead(
                new BatchId(id),
                Batches.TEAM,
                route(trainer),
                Batches.CONFIG_VERSION,
                "rollouts.example",
                Optional.of(model(trainer)),
                Optional.of(new WeightVersion(Math.max(1, newest().value() - 1))),
                ITEMS / PER_GROUP * 3 / 4,
                new BatchTerms(7_500, 40_000, false),
                3,
                nowMs,
                ITEMS,
                1,
                false);
        handle(new BatchInput.Open(head, items, true));
        read(nowMs, new BatchId(id), 0);
    }

    private void read(long atMs, BatchId batch, int after) {
        BatchInput.Read read = new BatchInput.Read(++lastTicket, batch, Batches.TEAM, after, READ_WAIT_MS);
        reads.put(read.ticket(), read);
        timed.add(new Timed(atMs, read));
    }

    private void generate() {
        for (Generated run : List.copyOf(runs.values())) {
            long due = (nowMs - run.startedMs) / EVENT_MS;
            String id = run.run.item().id().value();
            while (run.events.size() < due) {
                long number = run.run.lastEvent() + run.events.size() + 1;
                run.events.add(Batches.event(number, "data of event " + number, newest().value()));
                eventCount++;
                if (number >= lengths.get(id)) {
                    end(run, new RunOutcome.Completed());
                    break;
                }
            }
        }
    }

    private void end(Generated run, RunOutcome outcome) {
        if (runs.remove(run.run.id()) != null) {
            timed.add(new Timed(nowMs, new BatchInput.RunEnded(run.run.id(), outcome, run.events)));
        }
    }

    private void handle(BatchInput input) {
        long startNs = threads.getCurrentThreadCpuTime();
        inCore = true;
        List<BatchEffect> effects = core.on(nowMs, input);
        inCore = false;
        long[] cost = costs.computeIfAbsent(input.getClass().getSimpleName(), n -> new long[2]);
        cost[0]++;
        cost[1] += threads.getCurrentThreadCpuTime() - startNs;
        effects.forEach(this::execute);
    }

    private void execute(BatchEffect effect) {
        switch (effect) {
            case BatchEffect.StartRun start -> runs.put(start.run().id(), new Generated(start.run(), nowMs));
            case BatchEffect.StopRun stop -> {
                Generated run = runs.get(stop.run());
                if (run != null) {
                    end(run, new RunOutcome.Stopped());
                }
            }
            case BatchEffect.Store store ->
                timed.add(
                        new Timed(nowMs + STORE_MS, new BatchInput.StoreReplied(store.tag(), reply(store.request()))));
            case BatchEffect.StartScoring scoring -> throw new IllegalStateException("no item has a scorer");
            case BatchEffect.StopScoring scoring -> throw new IllegalStateException("no item has a scorer");
            case BatchEffect.Answer answer -> answered(answer);
            case BatchEffect.Observe observe -> {}
            case BatchEffect.Log log -> {}
        }
    }

    private static StoreReply reply(StoreRequest request) {
        return request instanceof StoreRequest.Read ? new StoreReply.NotFound() : new StoreReply.Written(1);
    }

    // A reader asks for the results after those of its last answer, until its batch has ended.
    private void answered(BatchEffect.Answer answer) {
        BatchInput.Read read = reads.remove(answer.ticket());
        if (List.of(open).contains(read.batch().value()) && answer.answer() instanceof ReadAnswer.Results page) {
            read(nowMs + STEP_MS, read.batch(), read.after() + page.results().size());
        }
    }

    private Thread startSampler(Thread control, Map<String, Integer> samples) {
        return Thread.ofPlatform().daemon().start(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                StackTraceElement[] trace = control.getStackTrace();
                if (inCore) {
                    count(trace, samples);
                }
                try {
                    Thread.sleep(1);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
    }

    // Each method counts once per sample, so that a line shows the time within the method and all that it calls.
    private static void count(StackTraceElement[] trace, Map<String, Integer> samples) {
        samples.merge("all", 1, Integer::sum);
        Arrays.stream(trace)
                .filter(f -> f.getClassName().startsWith("org.magnoliabridge.")
                        && !f.getClassName().contains("RunnerMeasurement"))
                .map(f -> f.getClassName().replaceFirst(".*\\.", "") + "." + f.getMethodName())
                .distinct()
                .forEach(f -> samples.merge(f, 1, Integer::sum));
    }

    private void print(PrintStream out, int seconds, Map<String, Integer> samples) {
        long total = costs.values().stream().mapToLong(c -> c[1]).sum();
        out.printf(
                Locale.ROOT,
                "%d engines: %d us of processor time per simulated second, %d events, %d batches, %d running, "
                        + "%d waiting%n",
                engineCount,
                total / 1_000 / seconds,
                eventCount / seconds,
                core.open().size(),
                core.runningItems(),
                core.waitingItems(nowMs));
        costs.forEach((name, c) -> out.printf(
                Locale.ROOT, "  %-14s %5d inputs/s %8d us/s%n", name, c[0] / seconds, c[1] / 1_000 / seconds));
        int all = Math.max(1, samples.getOrDefault("all", 0));
        samples.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .limit(SHOWN_FRAMES)
                .forEach(e -> out.printf(Locale.ROOT, "  %5.1f %%  %s%n", 100.0 * e.getValue() / all, e.getKey()));
    }

    private static RouteId route(int trainer) {
        return new RouteId("route-" + trainer);
    }

    private static ModelId model(int trainer) {
        return new ModelId("m" + trainer);
    }
}
