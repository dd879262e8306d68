package org.magnoliabridge.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.RunId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.sim.Fault;
import org.magnoliabridge.sim.SimWorld;

/** Simulates two nodes that run steps and serve a trainer, a fake engine, and a trainer that crashes repeatedly. */
final class RolloutWorld extends SimWorld {
    private static final int STEPS = 2;
    private static final int GROUPS = 3;
    private static final int SAMPLES = 2;
    private static final long MAX_STALENESS = 1;
    private static final long END_MS = 300_000;

    private final Set<Mechanism> mechanisms;
    private final FakeEngine engine = new FakeEngine();
    private final RolloutChecker checker = new RolloutChecker(engine, MAX_STALENESS, this::require);
    private final List<Node> nodes = new ArrayList<>();
    private final Trainer trainer = new Trainer();
    private int nudges;
    private long checkedRevision;

    RolloutWorld(Map<Integer, Fault> faults, Set<Mechanism> mechanisms) {
        super(faults);
        this.mechanisms = mechanisms;
        nodes.add(new Node(0));
        nodes.add(new Node(1));
    }

    RolloutWorld run() {
        at(10, trainer::sendNextRequest);
        for (long crash = 700; crash < 10_000; crash += 700) {
            at(crash, trainer::crash);
        }
        storeOutage(1_500, 2_500);
        runUntil(END_MS);
        require(
                checker.deliveredSamples.size() == STEPS * GROUPS * SAMPLES,
                "a step did not complete after the faults");
        require(checker.isUsageComplete(), "an acknowledged group was not counted");
        return this;
    }

    @Override
    protected boolean isDone() {
        return trainer.step == STEPS && checker.isUsageComplete();
    }

    @Override
    protected void check() {
        if (store.revision() != checkedRevision) {
            checkedRevision = store.revision();
            store.objects.values().forEach(checker::checkStored);
        }
        checker.checkUsage();
    }

    @Override
    protected void onCrash(Host host) {
        nodes.stream().filter(n -> n.host == host).forEach(n -> checker.crashed(n.process()));
    }

    private static StepSpec spec() {
        List<StepSpec.Group> groups = IntStream.range(0, GROUPS)
                .mapToObj(g -> new StepSpec.Group("g" + g, "prompt " + g))
                .toList();
        return new StepSpec(new ServiceId("s"), 10, MAX_STALENESS, END_MS, SAMPLES, 16, groups);
    }

    /** Stores fetched lines and cursors, acknowledges them, and uses the lines only after that. */
    private final class Trainer {
        private static final long REQUEST_INTERVAL_MS = 150;
        private static final long TIMEOUT_MS = 3_000;

        private int step;
        private boolean opened;
        private long cursor;
        private long acknowledged;
        private boolean acknowledging;
        private final List<JsonNode> fetchedLines = new ArrayList<>();
        private final Set<Long> openRequests = new HashSet<>();
        private final Map<Long, Integer> stepByRequest = new HashMap<>();
        private long lastRequest;
        private int node;
        private int fetches;

        private StepRef ref() {
            return new StepRef(new TeamId("t"), new RunId("r"), step);
        }

        /** Crashes the trainer, which loses what it has not stored and reconnects to the other node. */
        void crash() {
            openRequests.clear();
            if (!acknowledging) {
                // Lines are stored together with the decision to acknowledge them; other lines are fetched again.
                fetchedLines.clear();
                cursor = acknowledged;
            }
            node = 1 - node;
            sendNextRequest();
        }

        void sendNextRequest() {
            if (!openRequests.isEmpty() || step == STEPS) {
                return;
            }
            long version = FakeEngine.versionAt(now);
            long deadline = now + TIMEOUT_MS;
            if (!opened) {
                request(id -> new DeliveryInput.Open(id, ref(), spec(), deadline), node);
            } else if (acknowledging) {
                request(id -> new DeliveryInput.Acknowledge(id, ref(), cursor, version, deadline), node);
            } else {
                request(id -> new DeliveryInput.Fetch(id, ref(), cursor, version, now + 500, deadline), node);
                request(id -> new DeliveryInput.Fetch(id, ref(), cursor, version, now + 500, deadline), 1 - node);
            }
        }

        private void request(java.util.function.LongFunction<DeliveryInput> input, int to) {
            long id = ++lastRequest;
            openRequests.add(id);
            stepByRequest.put(id, step);
            DeliveryInput sent = input.apply(id);
            at(1, () -> nodes.get(to).host.after(0, () -> nodes.get(to).deliver(sent)));
            at(TIMEOUT_MS + 500, () -> {
                if (openRequests.remove(id)) {
                    node = 1 - node;
                    sendNextRequest();
                }
            });
        }

        void answer(long id, int requestStep, DeliveryEffect.Answer answer) {
            if (!openRequests.contains(id)) {
                return;
            }
            openRequests.clear();
            switch (answer) {
                case DeliveryEffect.Opened o -> opened = true;
                case DeliveryEffect.Groups groups -> {
                    groups.lines().forEach(line -> fetchedLines.add(parse(line)));
                    cursor = groups.cursor();
                    acknowledging = !fetchedLines.isEmpty() && ++fetches % 2 == 0;
                }
                case DeliveryEffect.Acknowledged a -> {
                    fetchedLines.forEach(line -> checker.delivered(requestStep, line));
                    fetchedLines.clear();
                    acknowledging = false;
                    acknowledged = cursor;
                    nextStep();
                }
                case DeliveryEffect.Replaced r -> {
                    fetchedLines.clear();
                    cursor = r.acknowledged();
                    acknowledged = cursor;
                    acknowledging = false;
                }
                case DeliveryEffect.Unavailable u -> node = 1 - node;
                default -> throw new IllegalStateException("unexpected answer " + answer);
            }
            at(REQUEST_INTERVAL_MS, this::sendNextRequest);
        }

        private void nextStep() {
            if (checker.deliveredSamples.size() == (step + 1) * GROUPS * SAMPLES) {
                step++;
                opened = false;
                cursor = 0;
                acknowledged = 0;
            }
        }
    }

    private static JsonNode parse(DeliveryEffect.Line line) {
        try {
            return RolloutChecker.parse(StepJson.line(line));
        } catch (MalformedStepException e) {
            throw new IllegalStateException(e);
        }
    }

    private final class Node {
        private final int number;
        private final Host host;
        private int starts;
        private RunnerCore runner;
        private DeliveryCore delivery;

        Node(int number) {
            this.number = number;
            this.host = new Host(this::start);
            start();
        }

        private void start() {
            runner = new RunnerCore(
                    new NodeId("n" + number), new Incarnation(starts++), new RunnerLimits(4, 100_000), mechanisms);
            delivery = new DeliveryCore(new NodeId("n" + number), new Incarnation(starts - 1), 1, mechanisms);
            host.every(200, () -> {
                RunnerInput engines =
                        new RunnerInput.Engines(new ServiceId("s"), FakeEngine.versionAt(now), FakeEngine.VERSION_MS);
                run(engines);
                run(new RunnerInput.Tick());
                deliver(new DeliveryInput.Tick());
            });
        }

        private String process() {
            return "n" + number + "." + new Incarnation(starts - 1);
        }

        private void count(DeliveryEffect.Acknowledged answer) {
            DeliveredUsage d = answer.delivered();
            checker.counted(
                    process(), answer.step().headKey().value(), d.samples(), d.promptTokens(), d.completionTokens());
        }

        private void run(RunnerInput input) {
            runner.handle(input, now).forEach(this::perform);
        }

        void deliver(DeliveryInput input) {
            delivery.handle(input, now).forEach(this::perform);
        }

        private void perform(RunnerEffect effect) {
            switch (effect) {
                case RunnerEffect.Store s -> storeCall(host, s.request(), r -> run(new RunnerInput.Reply(s.tag(), r)));
                case RunnerEffect.Generate g ->
                    sendRequest(
                            host,
                            "generate",
                            true,
                            () -> engine.generate(g.generation(), g.prompt(), now),
                            this::generated,
                            (RunnerInput) new RunnerInput.GenerationFailed(g.generation()));
                case RunnerEffect.Score s ->
                    sendRequest(
                            host,
                            "score",
                            true,
                            () -> new RunnerInput.Scored(
                                    s.generation(), s.text().length()),
                            this::run,
                            (RunnerInput) new RunnerInput.ScoreFailed(s.generation()));
                case RunnerEffect.CancelGeneration c -> sendMessage(host, "cancel", () -> {});
            }
        }

        private void generated(RunnerInput result) {
            long duration = result instanceof RunnerInput.Generated g ? g.tokens() * FakeEngine.TOKEN_MS : 0;
            host.after(duration, () -> run(result));
        }

        private void perform(DeliveryEffect effect) {
            switch (effect) {
                case DeliveryEffect.Store s ->
                    storeCall(host, s.request(), r -> deliver(new DeliveryInput.Reply(s.tag(), r)));
                case DeliveryEffect.Nudge n ->
                    sendMessage(host, "nudge", () -> {
                        // Both nodes get every nudge of the second step, so that two runners work on the same groups.
                        boolean both = n.step().step() == 1 || ++nudges % 3 == 0;
                        Node single = nodes.get(nodes.get(0).host.isUp() ? 0 : 1);
                        for (Node target : both ? nodes : List.of(single)) {
                            RunnerInput nudge = new RunnerInput.Nudge(n.step(), n.trainerVersion());
                            target.host.after(0, () -> target.run(nudge));
                        }
                    });
                case DeliveryEffect.LateAcknowledgement s -> count(s.outcome());
                case DeliveryEffect.Reply r -> {
                    int requestStep = trainer.stepByRequest.get(r.requestId());
                    if (r.answer() instanceof DeliveryEffect.Groups groups) {
                        groups.lines().forEach(line -> checker.checkLine(requestStep, parse(line)));
                    }
                    if (r.answer() instanceof DeliveryEffect.Acknowledged acknowledged) {
                        count(acknowledged);
                    }
                    sendMessage(host, "answer", () -> trainer.answer(r.requestId(), requestStep, r.answer()));
                }
            }
        }
    }
}
