package org.magnoliabridge.usage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WindowId;
import org.magnoliabridge.sim.SimStore;

class UsageCoreTest {
    private static final long WINDOW_MS = 1_000;
    private static final NodeId OTHER = new NodeId("n2");
    private static final ProcessName OTHER_PROCESS = new ProcessName(OTHER, new Incarnation(1));
    private static final TeamId TEAM = new TeamId("t");
    private static final WindowId FIRST = new WindowId(0);
    private final SimStore store = new SimStore();
    private final UsageCore core =
            new UsageCore(new NodeId("n1"), new Incarnation(3), UsageTimes.withoutDueTime(WINDOW_MS));
    private final List<UsageEffect> effects = new ArrayList<>();

    /** Guards against reports after the lease's {@code sendUntilMs}, when another node may already report. */
    @Test
    void sendsNothingWithoutALease() {
        deliver(0);
        run(new UsageInput.LeaseHeld(5_000, new FencingToken(1)), 1_000);
        ticks(5_000, 30_000);
        assertThat(store.objects.keySet(), empty());
        assertThat(effects, empty());
    }

    /** Guards against late counts that are lost, or that are billed without their original window. */
    @Test
    void carriesLateCountsWithTheirOrigin() throws MalformedUsageException {
        deliver(0);
        acquireLease();
        ticks(0, 12_000);
        CounterId late = new CounterId(FIRST, OTHER, new Incarnation(1), TEAM);
        TreeMap<CounterId, Count> counts = new TreeMap<>();
        counts.put(late, new Count(2, 3, 4));
        byte[] body = CountsCodec.pack(new Incarnation(1), counts);
        run(new UsageInput.Counts(OTHER_PROCESS, body), 12_001);
        run(new UsageInput.Counts(OTHER_PROCESS, body), 12_002);
        ticks(12_100, 14_000);
        List<SealedWindow> sealed = new ArrayList<>();
        for (var object : store.objects.values()) {
            if (object.key().value().startsWith("usage/")) {
                sealed.add(SealedWindow.decode(object.value()));
            }
        }
        List<CounterId> carried =
                sealed.stream().flatMap(w -> w.carried().keySet().stream()).toList();
        assertThat(carried, contains(late));
    }

    /** Guards against a shutdown that loses counts: every peer and the leader must have confirmed them. */
    @Test
    void drainsOnlyWhenEveryPeerHasConfirmed() {
        ProcessName peer = new ProcessName(OTHER, new Incarnation(1));
        ProcessName leader = new ProcessName(new NodeId("n3"), new Incarnation(1));
        run(new UsageInput.Peers(List.of(peer), Optional.of(leader)), 0);
        deliver(0);
        run(new UsageInput.Drain(), 10);
        List<UsageEffect.SendCounts> sent = effects.stream()
                .filter(e -> e instanceof UsageEffect.SendCounts)
                .map(e -> (UsageEffect.SendCounts) e)
                .toList();
        assertThat(sent, hasSize(2));
        run(new UsageInput.Ack(leader, ack(sent.getFirst().body(), 1)), 20);
        // The peer has restarted since and lost its copies, so its earlier confirmation is invalid.
        run(
                new UsageInput.Ack(
                        new ProcessName(OTHER, new Incarnation(0)),
                        ack(sent.getFirst().body(), 0)),
                20);
        assertThat(effects, not(hasItem(new UsageEffect.Drained())));
        run(new UsageInput.Ack(peer, ack(sent.getFirst().body(), 1)), 30);
        assertThat(effects, hasItem(new UsageEffect.Drained()));
    }

    /**
     * Guards against counts that are lost: an acknowledgement counts only if the process that holds the copies sent it,
     * and an acknowledgement to an earlier process of this node confirms nothing of this one.
     */
    @Test
    void acknowledgementsPairProcesses() throws MalformedUsageException {
        ProcessName peer = new ProcessName(OTHER, new Incarnation(2));
        run(new UsageInput.Peers(List.of(peer), Optional.of(peer)), 0);
        deliver(0);
        run(new UsageInput.Drain(), 10);
        byte[] sent = ((UsageEffect.SendCounts) effects.getFirst()).body();
        run(new UsageInput.Ack(OTHER_PROCESS, ack(sent, 2)), 20);
        run(new UsageInput.Ack(peer, ack(sent, 1)), 20);
        TreeMap<CounterId, Count> earlier = new TreeMap<>();
        CountsCodec.unpack(sent)
                .counts()
                .forEach((id, count) ->
                        earlier.put(new CounterId(id.window(), id.node(), new Incarnation(0), id.team()), count));
        run(new UsageInput.Ack(peer, CountsCodec.pack(new Incarnation(2), earlier)), 20);
        assertThat(effects, not(hasItem(new UsageEffect.Drained())));
        run(new UsageInput.Ack(peer, ack(sent, 2)), 30);
        assertThat(effects, hasItem(new UsageEffect.Drained()));
    }

    /** Guards against an acknowledgement that goes to a later process than the one whose counts were received. */
    @Test
    void acknowledgesTheProcessThatSentTheCounts() throws MalformedUsageException {
        TreeMap<CounterId, Count> counts = new TreeMap<>();
        counts.put(new CounterId(FIRST, OTHER, new Incarnation(1), TEAM), new Count(2, 3, 4));
        run(new UsageInput.Counts(OTHER_PROCESS, CountsCodec.pack(new Incarnation(1), counts)), 10);
        assertThat(((UsageEffect.SendAck) effects.getFirst()).to(), is(OTHER_PROCESS));
    }

    /** Guards against the leader taking one of the two places for copies: then two failures could lose counts. */
    @Test
    void copiesCountsToTheLeaderAndTwoPeers() {
        List<ProcessName> candidates = Stream.of("n1", "n3", "n2", "n4", "n5")
                .map(n -> new ProcessName(new NodeId(n), new Incarnation(1)))
                .toList();
        deliver(0);
        run(new UsageInput.Peers(candidates, Optional.of(candidates.get(1))), 2_000);
        List<String> targets = effects.stream()
                .map(e -> ((UsageEffect.SendCounts) e).to().value())
                .toList();
        assertThat(targets, containsInAnyOrder("n2", "n3", "n4"));
    }

    /** Guards against an unreported mismatch between the nodes' counts and the engines' counts. */
    @Test
    void reportsAMismatchWithTheEngineCounts() {
        deliver(0);
        acquireLease();
        run(new UsageInput.EngineCounts(FIRST, new Count(2, 9, 9)), 500);
        ticks(0, 13_000);
        assertThat(effects, hasItem(new UsageEffect.EngineMismatch(FIRST, new Count(1, 2, 3), new Count(2, 9, 9))));
    }

    /** Guards against damaged counts being acknowledged. */
    @Test
    void doesNotAcknowledgeDamagedCounts() throws MalformedUsageException {
        TreeMap<CounterId, Count> counts = new TreeMap<>();
        counts.put(new CounterId(FIRST, OTHER, new Incarnation(1), TEAM), new Count(2, 3, 4));
        byte[] body = CountsCodec.pack(new Incarnation(1), counts);
        assertThat(CountsCodec.unpack(body).counts(), is(counts));
        for (int cut = 0; cut < body.length; cut++) {
            byte[] part = Arrays.copyOf(body, cut);
            assertThrows(MalformedUsageException.class, () -> CountsCodec.unpack(part));
            run(new UsageInput.Counts(OTHER_PROCESS, part), 0);
        }
        assertThat(effects, empty());
        assertThat(core.malformedMessages(), is((long) body.length));
    }

    private static byte[] ack(byte[] sent, long incarnation) {
        try {
            return CountsCodec.pack(
                    new Incarnation(incarnation), CountsCodec.unpack(sent).counts());
        } catch (MalformedUsageException e) {
            throw new IllegalStateException(e);
        }
    }

    private void acquireLease() {
        run(new UsageInput.LeaseHeld(60_000, new FencingToken(1)), 0);
    }

    private void deliver(long nowMs) {
        run(new UsageInput.Delivered(TEAM, new Count(1, 2, 3)), nowMs);
    }

    private void ticks(long fromMs, long toMs) {
        for (long now = fromMs; now <= toMs; now += 100) {
            run(new UsageInput.Tick(), now);
        }
    }

    private void run(UsageInput input, long nowMs) {
        for (UsageEffect effect : core.handle(input, nowMs)) {
            switch (effect) {
                case UsageEffect.Store s -> run(new UsageInput.Reply(s.tag(), store.apply(s.request())), nowMs);
                case UsageEffect.Report r ->
                    run(new UsageInput.Reported(r.tag(), UsageInput.ReportResult.ACCEPTED), nowMs);
                default -> effects.add(effect);
            }
        }
    }
}
