package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.sim.Fault;
import org.magnoliabridge.sim.SimWorld;

/** Simulates three nodes, two of which run batches concurrently for a while, with a trainer and engines. */
final class BatchSimulation extends SimWorld {
    private static final int NODES = 3;
    private static final int ITEMS = 4;
    private static final int EVENTS = 3;
    private static final long END_MS = 60_000;
    private static final long SETTLE_MS = 1_000;
    private static final long RECOVERY_MS = 3_000;
    // Nodes 0 and 1 both run batches between these times; before, only node 0 does, and afterwards only node 1.
    private static final long SPLIT_FROM_MS = 4_500;
    private static final long SPLIT_TO_MS = 8_000;
    private static final long NEW_WEIGHTS_MS = 1_000;

    private final Set<BatchMechanism> mechanisms;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, BatchHead> heads = new HashMap<>();
    private final Map<String, List<BatchItem>> items = new HashMap<>();

    // Observations of the checker.
    private final Map<String, List<String>> answers = new HashMap<>();
    private final Map<String, Map<Integer, ItemResult>> positions = new HashMap<>();
    private final Map<String, Map<Integer, Long>> firstReadMs = new HashMap<>();
    private final Set<String> ran = new HashSet<>();
    private final Set<String> interruptedItems = new HashSet<>();
    private final Set<String> failedScores = new HashSet<>();
    private final Map<String, Long> completedMs = new HashMap<>();
    private final Map<String, Map<Long, Long>> generatedVersions = new HashMap<>();

    BatchSimulation(Map<Integer, Fault> faults, Set<BatchMechanism> mechanisms) {
        super(faults);
        this.mechanisms = mechanisms;
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(i));
        }
    }

    BatchSimulation run() {
        batch("b1", Batches.head("b1", ITEMS, 1, false), "a");
        batch("b2", Batches.head("b2", ITEMS, 2, true), "b");
        batch("b4", Batches.head("b4", ITEMS, 2, false), "d");
        batch("b3", Batches.head("b3", ITEMS, 2, false), "c");
        submit("b1", 200, 0, 2);
        submit("b1", 210, 1, 2);
        submit("b2", 2_000, 2, 3);
        submit("b3", 9_400, 1, 1);
        submit("b4", 4_600, 2, 3);
        for (long atMs = 500; atMs < END_MS - 2_000; atMs += 450) {
            int node = (int) (atMs / 450) % NODES;
            long readMs = atMs;
            at(readMs, () -> heads.keySet().forEach(id -> nodes.get(node).read(id)));
        }
        storeOutage(9_410, 13_600);
        runUntil(END_MS);
        return this;
    }

    private void batch(String id, BatchHead head, String prefix) {
        heads.put(id, head);
        items.put(id, Batches.scoredItems(prefix, ITEMS));
        positions.put(id, new HashMap<>());
        firstReadMs.put(id, new HashMap<>());
        answers.put(id, new ArrayList<>());
    }

    private void submit(String id, long atMs, int node, int attempts) {
        at(atMs - now, () -> attempt(id, node, attempts));
    }

    private void attempt(String id, int node, int attemptsLeft) {
        int before = answers.get(id).size();
        nodes.get(node).host.after(1, () -> nodes.get(node).accept(id));
        at(5_000, () -> {
            boolean answered =
                    answers.get(id).size() > before && answers.get(id).contains("accepted");
            if (!answered && attemptsLeft > 1) {
                attempt(id, (node + 1) % NODES, attemptsLeft - 1);
            }
        });
    }

    private boolean isRunner(int node) {
        return switch (node) {
            case 0 -> now < SPLIT_TO_MS;
            case 1 -> now >= SPLIT_FROM_MS;
            default -> false;
        };
    }

    private RunOutcome generate(ItemRun run, List<Transcript.Event> events) {
        String item = run.item().id().value();
        ran.add(run.batch().id().value());
        long version = now < NEW_WEIGHTS_MS ? 1 : 2;
        if (!run.batch().accepts(new WeightVersion(version))) {
            return new RunOutcome.Stale(new WeightVersion(version));
        }
        for (long n = run.lastEvent() + 1; n <= EVENTS; n++) {
            events.add(Batches.event(n, text(item, n), version));
            if (n == EVENTS) {
                completedMs.putIfAbsent(item, now);
            }
            generatedVersions.computeIfAbsent(item, i -> new HashMap<>()).put(n * 10 + version, version);
            // The first run of every second item fails in the middle.
            if (n == 2 && item.endsWith("1") && interruptedItems.add(item)) {
                return new RunOutcome.Broken("reset");
            }
        }
        return new RunOutcome.Completed();
    }

    // The first call for the score of every second item fails. A score names its request and when the call arrived.
    private ScoreOutcome score(ScoreCall call) {
        String item = call.item().value();
        if (item.endsWith("0") && failedScores.add(item)) {
            return new ScoreOutcome.Failed();
        }
        return new ScoreOutcome.Scored(call.request().id() + "@" + now);
    }

    private static String text(String item, long event) {
        return item + "#" + event;
    }

    private void checkAnswer(String id, int after, ReadAnswer answer, int node, long askedMs) {
        if (!(answer instanceof ReadAnswer.Results results)) {
            return;
        }
        Map<Integer, ItemResult> known = positions.get(id);
        Set<ItemId> listed = new HashSet<>();
        known.values().forEach(r -> listed.add(r.item()));
        for (int i = 0; i < results.results().size(); i++) {
            ItemResult result = results.results().get(i);
            ItemResult before = known.putIfAbsent(after + i, result);
            firstReadMs.get(id).putIfAbsent(after + i, now);
            require(before == null || before.equals(result), "a result of " + id + " changed after it was read");
            require(before != null || listed.add(result.item()), "an item of " + id + " was read at two positions");
            check(heads.get(id), result);
        }
        boolean recovered = nodes.get(node).disturbedUntilMs() + RECOVERY_MS <= askedMs;
        Long first = firstReadMs.get(id).get(after);
        boolean settled = first != null && first + SETTLE_MS < askedMs;
        require(
                !(results.results().isEmpty() && settled && recovered),
                "a result of " + id + " that was read before is missing");
    }

    private void check(BatchHead head, ItemResult result) {
        if (!result.completed()) {
            return;
        }
        String item = result.item().value();
        List<String> expected = new ArrayList<>();
        for (long n = 1; n <= EVENTS; n++) {
            expected.add(text(item, n));
        }
        require(
                result.text().equals(String.join("\n", expected)),
                "the text of an item differs from the text that its engine generated");
        require(result.versions().stream().allMatch(head::accepts), "a text was generated by weights that are too old");
        require(
                !head.terms().singleVersion() || result.versions().size() == 1,
                "a text was generated by several weight versions although a single one is required");
        require(
                result.versions().stream()
                        .allMatch(v ->
                                generatedVersions.getOrDefault(item, Map.of()).containsValue(v.value())),
                "a text names a weight version that generated no part of it");
        checkScore(item, result.score());
    }

    private void checkScore(String item, Optional<String> score) {
        String prefix = "score-" + item + "@";
        boolean own = score.filter(s -> s.startsWith(prefix)).isPresent();
        require(own, "a result has no score, or that of another item");
        long scoredMs = own ? Long.parseLong(score.get().substring(prefix.length())) : Long.MIN_VALUE;
        require(
                completedMs.getOrDefault(item, Long.MAX_VALUE) <= scoredMs,
                "a text was scored before its last event was made");
    }

    @Override
    protected void check() {
        answers.forEach((id, all) -> {
            boolean rejectedOnly = !all.isEmpty() && all.stream().allMatch("not accepted"::equals);
            boolean ending = now > END_MS - 1_000;
            require(!(rejectedOnly && ending && ran.contains(id)), "an item of a rejected batch ran");
        });
    }

    @Override
    protected void onCrash(Host host) {
        nodes.stream().filter(n -> n.host == host).forEach(n -> n.disturbedUntilMs = now);
    }

    @Override
    protected void onPause(Host host) {
        nodes.stream().filter(n -> n.host == host).forEach(n -> n.disturbedUntilMs = now + PAUSE_MS);
    }

    private final class Node {
        private final int number;
        private final Host host;
        private int starts;
        private BatchCore core;
        private boolean running;
        private long lastTicket;
        private long disturbedUntilMs = Long.MIN_VALUE / 2;
        private Map<Long, Consumer<ReadAnswer>> tickets;

        Node(int number) {
            this.number = number;
            host = new Host(this::start);
            start();
        }

        long disturbedUntilMs() {
            return disturbedUntilMs;
        }

        private void start() {
            core = new BatchCore(
                    "n" + number + "-" + starts++,
                    () -> now,
                    process -> false,
                    mechanisms,
                    EnumSet.allOf(TextMechanism.class));
            running = false;
            tickets = new HashMap<>();
            host.every(200, this::tick);
            host.every(2_000, this::refresh);
        }

        private void tick() {
            if (isRunner(number) && !running) {
                running = true;
                handle(new BatchInput.Routes(
                        Batches.CONFIG_VERSION, Map.of(Batches.ROUTE, Batches.TARGET), Batches.SCORERS));
                heads.keySet().forEach(this::load);
            } else if (!isRunner(number) && running) {
                running = false;
                handle(new BatchInput.SteppedDown());
            }
            if (running) {
                // While both nodes run batches, node 1 reaches no engine and receives results only through the log.
                boolean disconnected = number == 1 && now < SPLIT_TO_MS;
                EngineState engine = Batches.engine("e1", 3, now < NEW_WEIGHTS_MS ? 1 : 2);
                EngineState scorer = Batches.scorer("s1", 3);
                handle(new BatchInput.Engines(disconnected ? List.of() : List.of(engine, scorer)));
            }
            handle(new BatchInput.Tick());
        }

        private void refresh() {
            if (running) {
                heads.keySet().stream()
                        .filter(id -> !core.hasBatch(new BatchId(id)))
                        .forEach(this::load);
            }
        }

        private void load(String id) {
            storeCall(host, new StoreRequest.Read(BatchKeys.head(new BatchId(id))), reply -> {
                if (reply instanceof StoreReply.Found && running) {
                    handle(new BatchInput.Open(heads.get(id), items.get(id), false));
                } else if (!(reply instanceof StoreReply.NotFound)) {
                    host.after(500, () -> load(id));
                }
            });
        }

        void accept(String id) {
            Acceptance acceptance = new Acceptance(heads.get(id), items.get(id), mechanisms);
            advance(id, acceptance, now + 4_000);
        }

        private void advance(String id, Acceptance acceptance, long deadlineMs) {
            if (acceptance.accepted().isPresent()) {
                answers.get(id).add("accepted");
                boolean newlyAccepted = acceptance.createdHead();
                nodes.forEach(n ->
                        sendMessage(host, "offer", () -> n.host.after(0, () -> n.onOffer(id, newlyAccepted))));
                return;
            }
            if (now >= deadlineMs) {
                answers.get(id).add(acceptance.undecided() ? "unknown" : "not accepted");
                return;
            }
            Optional<StoreRequest> request = acceptance.next(now);
            if (request.isEmpty()) {
                host.after(20, () -> advance(id, acceptance, deadlineMs));
                return;
            }
            boolean[] replied = {false};
            storeCall(host, request.get(), reply -> {
                if (!replied[0]) {
                    replied[0] = true;
                    handleReply(acceptance, reply);
                    advance(id, acceptance, deadlineMs);
                }
            });
        }

        private void handleReply(Acceptance acceptance, StoreReply reply) {
            try {
                acceptance.reply(now, reply);
            } catch (MalformedBatchException e) {
                throw new IllegalStateException(e);
            }
        }

        private void onOffer(String id, boolean newlyAccepted) {
            if (running) {
                handle(new BatchInput.Open(heads.get(id), items.get(id), newlyAccepted));
            }
        }

        void read(String id) {
            host.after(0, () -> {
                if (!running) {
                    return;
                }
                long ticket = ++lastTicket;
                int after = (int) (ticket % 2) * positions.get(id).size() / 2;
                long askedMs = now;
                tickets.put(ticket, answer -> checkAnswer(id, after, answer, number, askedMs));
                handle(new BatchInput.Read(ticket, new BatchId(id), Batches.TEAM, after, 300));
            });
        }

        private void handle(BatchInput input) {
            core.on(now, input).forEach(this::perform);
        }

        private void perform(BatchEffect effect) {
            switch (effect) {
                case BatchEffect.Store s ->
                    storeCall(host, s.request(), r -> handle(new BatchInput.StoreReplied(s.tag(), r)));
                case BatchEffect.StartRun s -> {
                    List<Transcript.Event> events = new ArrayList<>();
                    sendRequest(
                            host,
                            "run",
                            false,
                            () -> generate(s.run(), events),
                            outcome -> handle(new BatchInput.RunEnded(
                                    s.run().id(), outcome, isLost(outcome) ? List.of() : events)),
                            new RunOutcome.Broken("lost"));
                }
                case BatchEffect.StopRun s -> {}
                case BatchEffect.StartScoring s ->
                    sendRequest(
                            host,
                            "score",
                            false,
                            () -> score(s.call()),
                            outcome -> handle(new BatchInput.ScoreEnded(s.call().id(), outcome)),
                            new ScoreOutcome.Broken("lost"));
                case BatchEffect.StopScoring s -> {}
                case BatchEffect.Answer a -> {
                    Consumer<ReadAnswer> reader = tickets.remove(a.ticket());
                    if (reader != null) {
                        reader.accept(a.answer());
                    }
                }
                case BatchEffect.Observe o -> {}
                case BatchEffect.Log l -> {}
            }
        }

        private boolean isLost(RunOutcome outcome) {
            return outcome instanceof RunOutcome.Broken broken
                    && broken.reason().equals("lost");
        }
    }
}
