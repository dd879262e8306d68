package org.magnoliabridge.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.RunId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;
import org.magnoliabridge.sim.SimStore;

class RunnerCoreTest {
    private static final StepRef STEP = new StepRef(new TeamId("t"), new RunId("r"), 0);
    private static final ServiceId SERVICE = new ServiceId("s");
    private final SimStore store = new SimStore();
    private final List<RunnerEffect.Generate> generations = new ArrayList<>();
    private final List<RunnerEffect> cancellations = new ArrayList<>();
    private RunnerCore core;

    /** Guards against stragglers that stall a step, and against hedges beyond the budget of 5% extra tokens. */
    @Test
    void hedgesStragglersWithinTheBudget() {
        open(20, 10, 100, 1 << 20);
        generations.subList(0, 18).forEach(g -> finish(g, "text", 10));
        tick(200);
        List<RunnerEffect.Generate> hedges =
                generations.stream().filter(RunnerEffect.Generate::hedge).toList();
        assertThat(hedges, hasSize(1));
        finish(hedges.getFirst(), "text", 10);
        assertThat(
                cancellations.stream()
                        .filter(e -> e instanceof RunnerEffect.CancelGeneration)
                        .toList(),
                hasSize(1));
    }

    /** Guards against buffering samples without limit while the platform is unavailable. */
    @Test
    void stopsStartingSamplesWhenTheBufferIsFull() {
        open(20, 10, 4, 1_000);
        store.unavailable = true;
        for (int i = 0; i < generations.size(); i++) {
            finish(generations.get(i), "x".repeat(300), 10);
        }
        // Four texts of 300 bytes exceed the buffer of 1,000; the generations started meanwhile still finish.
        assertThat(generations.size(), lessThanOrEqualTo(8));
    }

    /** Guards against work on engines whose weights will be too old when the sample is finished. */
    @Test
    void waitsForNewerWeightsWhenASampleWouldFinishTooOld() {
        open(20, 10, 1, 1 << 20);
        finish(generations.getFirst(), "text", 10, 3_000);
        int before = generations.size();
        assertThat(generations.getLast().minVersion(), is(4L));
        run(new RunnerInput.Engines(SERVICE, 4, 2_000), 3_001);
        finish(generations.getLast(), "text", 10, 3_002);
        assertThat(generations, hasSize(before));
        run(new RunnerInput.Engines(SERVICE, 5, 2_000), 3_003);
        assertThat(generations, hasSize(before + 1));
        assertThat(generations.getLast().minVersion(), is(5L));
    }

    /** Guards against a group that can't be stored because it exceeds the platform's limit of 1 MB. */
    @Test
    void splitsALargeBodyAndDeliversItWhole() {
        open(4, 10, 4, 1 << 24);
        generations.subList(0, 4).forEach(g -> finish(g, "y".repeat(400_000), 10));
        tick(1_500);
        assertThat(
                store.objects.values().stream().allMatch(o -> o.value().length < ObjectStore.MAX_VALUE_BYTES),
                is(true));
        List<DeliveryEffect.Line> lines = fetch(new DeliveryCore(new NodeId("n"), new Incarnation(0), 1));
        assertThat(lines, hasSize(1));
        assertThat(StepJson.digest(lines.getFirst().body()), is(lines.getFirst().digest()));
        assertThat(lines.getFirst().body().length > ObjectStore.MAX_VALUE_BYTES, is(true));
    }

    /** Guards against a trainer that gets no cached groups while the platform is unavailable. */
    @Test
    void deliversCachedGroupsWhileThePlatformIsUnavailable() {
        open(2, 10, 4, 1 << 20);
        generations.subList(0, 2).forEach(g -> finish(g, "text", 10));
        tick(1_500);
        DeliveryCore delivery = new DeliveryCore(new NodeId("n"), new Incarnation(0), 1 << 20);
        List<DeliveryEffect.Line> lines = fetch(delivery);
        store.unavailable = true;
        assertThat(fetch(delivery), is(lines));
    }

    private List<DeliveryEffect.Line> fetch(DeliveryCore delivery) {
        List<DeliveryEffect.Line> lines = new ArrayList<>();
        deliver(delivery, new DeliveryInput.Fetch(1, STEP, 0, 5, 0, 10_000), lines);
        return lines;
    }

    private void deliver(DeliveryCore delivery, DeliveryInput input, List<DeliveryEffect.Line> lines) {
        for (DeliveryEffect effect : delivery.handle(input, 1)) {
            if (effect instanceof DeliveryEffect.Store s) {
                deliver(delivery, new DeliveryInput.Reply(s.tag(), store.apply(s.request())), lines);
            } else if (effect instanceof DeliveryEffect.Reply r && r.answer() instanceof DeliveryEffect.Groups g) {
                lines.addAll(g.lines());
            }
        }
    }

    private void open(int samples, int maxTokens, int maxGenerations, long maxBufferedBytes) {
        core = new RunnerCore(new NodeId("n"), new Incarnation(0), new RunnerLimits(maxGenerations, maxBufferedBytes));
        StepSpec spec =
                new StepSpec(SERVICE, 5, 1, 600_000, samples, maxTokens, List.of(new StepSpec.Group("g0", "prompt")));
        store.apply(new StoreRequest.Write(STEP.headKey(), 0, StepJson.head(StepHead.open(spec, 0))));
        run(new RunnerInput.Nudge(STEP, 5), 0);
    }

    private void finish(RunnerEffect.Generate g, String text, int tokens) {
        finish(g, text, tokens, 100);
    }

    private void finish(RunnerEffect.Generate g, String text, int tokens, long nowMs) {
        List<WeightRange> versions = List.of(new WeightRange(0, tokens, new WeightVersion(5)));
        run(new RunnerInput.Generated(g.generation(), text, tokens, versions), nowMs);
    }

    private void tick(long nowMs) {
        run(new RunnerInput.Tick(), nowMs);
    }

    private void run(RunnerInput input, long nowMs) {
        for (RunnerEffect effect : core.handle(input, nowMs)) {
            switch (effect) {
                case RunnerEffect.Store s -> {
                    StoreReply reply = store.apply(s.request());
                    run(new RunnerInput.Reply(s.tag(), reply), nowMs);
                }
                case RunnerEffect.Score s -> run(new RunnerInput.Scored(s.generation(), 0.5), nowMs);
                case RunnerEffect.Generate g -> generations.add(g);
                case RunnerEffect.CancelGeneration c -> cancellations.add(c);
            }
        }
    }
}
