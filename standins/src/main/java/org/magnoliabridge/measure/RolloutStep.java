package org.magnoliabridge.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.RunId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.rollout.DeliveryCore;
import org.magnoliabridge.rollout.DeliveryEffect;
import org.magnoliabridge.rollout.DeliveryInput;
import org.magnoliabridge.rollout.RunnerCore;
import org.magnoliabridge.rollout.RunnerEffect;
import org.magnoliabridge.rollout.RunnerInput;
import org.magnoliabridge.rollout.RunnerLimits;
import org.magnoliabridge.rollout.StepRef;
import org.magnoliabridge.rollout.StepSpec;
import org.magnoliabridge.rollout.WeightRange;

/** One step from its opening to its last acknowledgement; generations end one tick after they start. */
final class RolloutStep {
    static final List<Integer> GROUPS = List.of(8, 16, 32, 64);

    private static final int SAMPLES = 8;
    private static final int TOKENS = 250;
    private static final int TEXT_CHARS = 1_000;
    private static final int MAX_GENERATIONS = 64;
    private static final long VERSION = 10;
    private static final long TICK_MS = 100;
    private static final long LIMIT_MS = 600_000;

    final MemoryObjects store = new MemoryObjects();
    private final StepRef step = new StepRef(new TeamId("team"), new RunId("run"), 0);
    private final RunnerCore runner =
            new RunnerCore(new NodeId("node"), new Incarnation(1), new RunnerLimits(MAX_GENERATIONS, 4 << 20));
    private final DeliveryCore delivery = new DeliveryCore(new NodeId("node"), new Incarnation(1), 4 << 20);
    private final List<RunnerInput> generated = new ArrayList<>();
    private long nowMs = 1_000_000;
    private long lastRequest;
    private long cursor;
    private int received;
    private boolean mayFetch;
    private boolean acknowledged;

    /** Runs the step. */
    RolloutStep run(int groups) {
        long endMs = nowMs + LIMIT_MS;
        List<StepSpec.Group> prompts = IntStream.range(0, groups)
                .mapToObj(g -> new StepSpec.Group("group-" + g, "prompt " + g))
                .toList();
        StepSpec spec = new StepSpec(new ServiceId("service"), VERSION, 4, LIMIT_MS, SAMPLES, TOKENS, prompts);
        deliver(new DeliveryInput.Open(++lastRequest, step, spec, endMs));
        while (!(received == groups && acknowledged) && nowMs < endMs) {
            nowMs += TICK_MS;
            if (mayFetch) {
                mayFetch = false;
                fetch();
            }
            List<RunnerInput> results = List.copyOf(generated);
            generated.clear();
            results.forEach(this::work);
            work(new RunnerInput.Engines(new ServiceId("service"), VERSION, 0));
            work(new RunnerInput.Tick());
            deliver(new DeliveryInput.Tick());
        }
        if (received != groups) {
            throw new IllegalStateException(received + " groups were delivered instead of " + groups);
        }
        return this;
    }

    private void fetch() {
        deliver(new DeliveryInput.Fetch(++lastRequest, step, cursor, VERSION, nowMs + 20_000, nowMs + 30_000));
    }

    private void work(RunnerInput input) {
        for (RunnerEffect effect : runner.handle(input, nowMs)) {
            switch (effect) {
                case RunnerEffect.Store s -> work(new RunnerInput.Reply(s.tag(), store.answer(s.request())));
                case RunnerEffect.Generate g ->
                    generated.add(new RunnerInput.Generated(
                            g.generation(),
                            "x".repeat(TEXT_CHARS),
                            TOKENS,
                            List.of(new WeightRange(0, TOKENS, new WeightVersion(VERSION)))));
                case RunnerEffect.Score s -> work(new RunnerInput.Scored(s.generation(), 1));
                case RunnerEffect.CancelGeneration c -> {}
            }
        }
    }

    private void deliver(DeliveryInput input) {
        for (DeliveryEffect effect : delivery.handle(input, nowMs)) {
            switch (effect) {
                case DeliveryEffect.Store s -> deliver(new DeliveryInput.Reply(s.tag(), store.answer(s.request())));
                case DeliveryEffect.Nudge n -> work(new RunnerInput.Nudge(n.step(), n.trainerVersion()));
                case DeliveryEffect.Reply r -> answered(r.answer());
                case DeliveryEffect.LateAcknowledgement late -> acknowledged = true;
            }
        }
    }

    private void answered(DeliveryEffect.Answer answer) {
        switch (answer) {
            case DeliveryEffect.Opened opened -> mayFetch = true;
            case DeliveryEffect.Groups groups -> {
                received += groups.lines().size();
                cursor = groups.cursor();
                if (groups.lines().isEmpty()) {
                    mayFetch = true;
                } else {
                    acknowledged = false;
                    deliver(new DeliveryInput.Acknowledge(++lastRequest, step, cursor, VERSION, nowMs + 30_000));
                }
            }
            case DeliveryEffect.Acknowledged a -> {
                acknowledged = true;
                mayFetch = true;
            }
            default -> throw new IllegalStateException("unexpected answer " + answer);
        }
    }
}
