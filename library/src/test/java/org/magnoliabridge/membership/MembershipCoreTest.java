package org.magnoliabridge.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.membership.MemberState.Liveness;
import org.magnoliabridge.wire.CallNumber;
import org.magnoliabridge.wire.FrameType;

class MembershipCoreTest {
    private static final List<Liveness> STATES = List.of(Liveness.ALIVE, Liveness.SUSPECT, Liveness.DEAD);
    private static final NodeId OTHER = new NodeId("other");
    private static final ProcessName OTHER_PROCESS = new ProcessName(OTHER, new Incarnation(1));
    private static final MemberState ALIVE = new MemberState(new Incarnation(1), 0, Liveness.ALIVE, false);

    private static MemberState state(int bits) {
        return new MemberState(
                new Incarnation(bits & 1), (bits >> 1) & 1, STATES.get((bits >> 2) % 3), (bits & 32) != 0);
    }

    private static NodeLocation location(String name) {
        return new NodeLocation(name, name, new DataCentre("trent"), new Region("midlands"));
    }

    private static MembershipCore core() {
        MemberState alive = new MemberState(new Incarnation(5), 0, Liveness.ALIVE, false);
        return new MembershipCore(new Member(new NodeId("self"), alive, location("self"), 0), List.of(), new Random(1));
    }

    private static MemberUpdate report(String name, int capacity) {
        return new MemberUpdate(
                new NodeId(name), ALIVE, Optional.of(location(name).withCapacity(capacity)));
    }

    private static int capacity(MembershipCore core, String name) {
        return core.members().stream()
                .filter(m -> m.id().value().equals(name))
                .findFirst()
                .orElseThrow()
                .location()
                .capacityMillicores();
    }

    private static boolean storeServes(MembershipCore core, String name) {
        return core.members().stream()
                .filter(m -> m.id().value().equals(name))
                .findFirst()
                .orElseThrow()
                .state()
                .storeServes();
    }

    private static MembershipCore fastCore() {
        return new MembershipCore(
                new Member(new NodeId("self"), ALIVE, location("self"), 0),
                List.of(),
                new Random(1),
                MembershipSettings.FAST);
    }

    private static Liveness liveness(MembershipCore core) {
        return core.members().stream()
                .filter(m -> m.id().equals(OTHER))
                .findFirst()
                .orElseThrow()
                .state()
                .liveness();
    }

    private static List<Long> pingsToOther(List<MembershipEffect> effects) {
        List<Long> result = new ArrayList<>();
        for (MembershipEffect effect : effects) {
            if (effect instanceof MembershipEffect.Send send && send.type() == FrameType.PING) {
                result.add(send.requestId());
            }
        }
        return result;
    }

    private static byte[] ping(MemberUpdate... updates) {
        return pingOf(0, updates);
    }

    private static byte[] pingOf(int capacity, MemberUpdate... updates) {
        return pingFrom(report("other", capacity), updates);
    }

    private static byte[] pingFrom(MemberUpdate sender, MemberUpdate... updates) {
        return MembershipCodec.pack(
                new MembershipCodec.PingBody(sender, List.of(0L, 0L), 0, 1, -1, 0, List.of(updates), List.of()));
    }

    /** Guards against tables that stay different because reports arrived in another order or twice. */
    @Property(tries = 300, seed = "46")
    void reportsMergeInAnyOrder(
            @ForAll @IntRange(max = 63) int a, @ForAll @IntRange(max = 63) int b, @ForAll @IntRange(max = 63) int c) {
        MemberState left = state(a).merge(state(b)).merge(state(c));
        assertThat(state(c).merge(state(a)).merge(state(b)), equalTo(left));
        assertThat(left.merge(state(b)), equalTo(left));
    }

    /** Guards against separate groups of nodes that started together, each of which considers itself the cluster. */
    @Test
    void pingsListedNodesThatAreNotYetMembers() {
        MemberState alive = new MemberState(new Incarnation(5), 0, Liveness.ALIVE, false);
        MembershipCore core = new MembershipCore(
                new Member(new NodeId("self"), alive, location("self"), 0),
                List.of(),
                new Random(1),
                MembershipSettings.FAST);
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping()), 0);
        Map<NodeId, String> listed = new TreeMap<>();
        for (int i = 0; i < 8; i++) {
            listed.put(new NodeId("n" + i), "10.0.0." + i + ":7000");
        }
        core.handle(new MembershipInput.Instances(listed), 0);
        Set<String> pinged = new TreeSet<>();
        for (long now = 0; now <= 2_000; now += 100) {
            for (MembershipEffect effect : core.handle(new MembershipInput.Tick(), now)) {
                if (effect instanceof MembershipEffect.Send send && send.type() == FrameType.PING) {
                    pinged.add(send.address());
                }
            }
        }
        assertThat(pinged.containsAll(listed.values()), is(true));
    }

    /** Guards against a crash of the control thread on a malformed body, from random bytes to an altered ping. */
    @Property(tries = 500, seed = "47")
    void reportsMalformedBodies(@ForAll @Size(max = 120) byte[] random, @ForAll @IntRange(max = 200) int at) {
        byte[] altered = ping();
        altered[at % altered.length] ^= (byte) (random.length + 1);
        for (FrameType type : FrameType.values()) {
            core().handle(new MembershipInput.Received(OTHER_PROCESS, type, 1, random), 0);
            core().handle(new MembershipInput.Received(OTHER_PROCESS, type, 1, altered), 0);
        }
        List<MembershipEffect> effects =
                core().handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, new byte[] {1}), 0);
        assertThat(effects.get(0), instanceOf(MembershipEffect.Malformed.class));
    }

    /** Guards against nodes that rank members differently because the capacity of some did not reach them. */
    @Test
    void capacitiesArriveWithPingsAndTables() throws MalformedMessageException {
        MembershipCore core = core();
        core.handle(
                new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, pingOf(1_500, report("third", 360))), 0);
        assertThat(capacity(core, "other"), is(1_500));
        assertThat(capacity(core, "third"), is(360));
        List<MemberUpdate> table = List.of(report("a", 750), new MemberUpdate(OTHER, ALIVE, Optional.empty()));
        assertThat(MembershipCodec.readUpdates(MembershipCodec.packUpdates(table)), equalTo(table));
    }

    /** Guards against a cluster that splits while nodes with and without capacities run beside each other. */
    @Test
    void nodesWithoutCapacitiesUnderstandAndAreUnderstood() throws MalformedMessageException {
        byte[] current = pingOf(1_500, report("third", 360));
        byte[] without = pingOf(0, report("third", 0));
        int capacities = without.length - 3;
        byte[] earlier = Arrays.copyOf(without, capacities);
        // An earlier node reads eight fields whatever the header says, and ignores the rest.
        assertThat(Arrays.copyOf(current, capacities), equalTo(earlier));
        earlier[0] = (byte) 0x98;
        assertThat(MembershipCodec.readPing(earlier).sender(), equalTo(report("other", 0)));
        assertThat(MembershipCodec.readPing(earlier).updates(), equalTo(List.of(report("third", 0))));
        byte[] table = MembershipCodec.packUpdates(List.of(report("third", 360)));
        byte[] earlierTable = Arrays.copyOf(table, table.length - 4);
        assertThat(MembershipCodec.readUpdates(earlierTable), equalTo(List.of(report("third", 0))));
    }

    /** Guards against a member that counts as small for good because an earlier node reported it first. */
    @Test
    void capacityIsLearnedAfterAReportWithoutIt() {
        MembershipCore core = core();
        NodeId third = new NodeId("third");
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, pingOf(0, report("third", 0))), 0);
        assertThat(capacity(core, "third"), is(0));
        byte[] own = pingFrom(report("third", 360));
        List<MembershipEffect> effects = core.handle(
                new MembershipInput.Received(new ProcessName(third, new Incarnation(1)), FrameType.PING, 1, own), 0);
        assertThat(capacity(core, "third"), is(360));
        assertThat(effects.stream().anyMatch(MembershipEffect.Changed.class::isInstance), is(true));
        MemberState suspected = ALIVE.with(Liveness.SUSPECT);
        MemberUpdate report = new MemberUpdate(third, suspected, Optional.of(location("third")));
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, pingOf(0, report)), 0);
        assertThat(capacity(core, "third"), is(360));
    }

    /** Guards against capacities that are assigned to the wrong members, or are impossible. */
    @Test
    void reportsMalformedCapacities() {
        byte[] missing = pingOf(0, report("third", 0));
        missing[missing.length - 3] = (byte) 0x91;
        byte[] negative = pingOf(0, report("third", 0));
        negative[negative.length - 1] = (byte) 0xff;
        for (byte[] body : List.of(missing, negative)) {
            List<MembershipEffect> effects =
                    core().handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, body), 0);
            assertThat(effects.get(0), instanceOf(MembershipEffect.Malformed.class));
        }
    }

    /** Guards against a node that is taken to reach the store, or not to, because reports arrive in another order. */
    @Test
    void latestReportAboutTheStoreCounts() throws MalformedMessageException {
        MembershipCore core = core();
        MemberUpdate lost = report("third", 360).withStoreChanges(2);
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping(report("third", 360))), 0);
        assertThat("not reported", storeServes(core, "third"), is(true));
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping(lost)), 0);
        assertThat(storeServes(core, "third"), is(false));
        for (int changes : new int[] {0, 1}) {
            MemberUpdate older = report("third", 360).withStoreChanges(changes);
            core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping(older)), 0);
            assertThat(storeServes(core, "third"), is(false));
        }
        byte[] again = ping(new MemberUpdate(new NodeId("third"), ALIVE.withStoreChanges(3), Optional.empty()));
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, again), 0);
        assertThat(storeServes(core, "third"), is(true));
        assertThat(MembershipCodec.readUpdates(MembershipCodec.packUpdates(List.of(lost))), equalTo(List.of(lost)));
    }

    /** Guards against a node whose loss of the store the others learn late or never. */
    @Test
    void ownLossOfTheStoreIsGossiped() throws MalformedMessageException {
        MembershipCore core = core();
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping()), 0);
        boolean expected = true;
        for (boolean serves : new boolean[] {true, false, false, true, false}) {
            core.handle(new MembershipInput.StoreServing(serves), 0);
            expected = serves;
            assertThat(storeServes(core, "self"), is(expected));
            List<MembershipEffect> effects =
                    core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping()), 0);
            MembershipEffect.Send ack = (MembershipEffect.Send) effects.getFirst();
            assertThat(MembershipCodec.readPing(ack.body()).sender().state().storeServes(), is(expected));
        }
        int refutation = core.members().getLast().state().refutation();
        core.handle(new MembershipInput.Leave(), 0);
        assertThat(storeServes(core, "self"), is(false));
        assertThat(core.members().getLast().state().refutation(), is(refutation));
    }

    /** Guards against a cluster that splits while some of its nodes report nothing about the store. */
    @Test
    void nodesThatReportNothingAboutTheStoreUnderstandAndAreUnderstood() throws MalformedMessageException {
        MemberUpdate third = report("third", 360);
        byte[] without = pingFrom(report("other", 1_500), third);
        byte[] current = pingFrom(report("other", 1_500).withStoreChanges(1), third.withStoreChanges(4));
        // A node without these reports reads the same body and ignores what follows.
        assertThat(Arrays.copyOf(current, without.length), equalTo(without));
        assertThat(current.length, is(without.length + 3));
        assertThat(MembershipCodec.readPing(without).updates(), equalTo(List.of(third)));
        byte[] table = MembershipCodec.packUpdates(List.of(third.withStoreChanges(4)));
        assertThat(MembershipCodec.readUpdates(Arrays.copyOf(table, table.length - 2)), equalTo(List.of(third)));
    }

    /** Guards against a suspect that is never dead because it reports about the store meanwhile. */
    @Test
    void reportAboutTheStoreDoesNotProlongASuspicion() {
        MembershipCore core = fastCore();
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping()), 0);
        for (long now = 0; now <= 1_900; now += 100) {
            core.handle(new MembershipInput.Tick(), now);
            MemberState state = ALIVE.with(Liveness.SUSPECT).withStoreChanges((int) (now / 100));
            byte[] body = pingFrom(report("third", 0), new MemberUpdate(OTHER, state, Optional.empty()));
            core.handle(
                    new MembershipInput.Received(
                            new ProcessName(new NodeId("third"), new Incarnation(1)), FrameType.PING, 1, body),
                    now);
        }
        assertThat(liveness(core), is(Liveness.DEAD));
    }

    /** Guards against reports about the store that are assigned to the wrong members, or are impossible. */
    @Test
    void reportsMalformedReportsAboutTheStore() {
        byte[] missing = pingFrom(report("other", 0).withStoreChanges(1), report("third", 0));
        missing[missing.length - 3] = (byte) 0x91;
        byte[] negative = pingFrom(report("other", 0).withStoreChanges(1), report("third", 0));
        negative[negative.length - 1] = (byte) 0xff;
        for (byte[] body : List.of(missing, negative)) {
            List<MembershipEffect> effects =
                    core().handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, body), 0);
            assertThat(effects.get(0), instanceOf(MembershipEffect.Malformed.class));
        }
    }

    /** Guards against a busy node that suspects members whose answers wait in its own queue. */
    @Test
    void answersThatWaitWhileThisNodeIsBusyCount() {
        MembershipCore core = fastCore();
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping()), 0);
        List<Long> pings = pingsToOther(core.handle(new MembershipInput.Tick(), 0));
        assertThat(pings.isEmpty(), is(false));
        for (long now = 1_000; now <= 20_000; now += 1_000) {
            List<Long> next = pingsToOther(core.handle(new MembershipInput.Tick(), now));
            assertThat(liveness(core), is(Liveness.ALIVE));
            for (long id : pings) {
                core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.ACK, id, ping()), now);
            }
            pings = next;
        }
    }

    /** Guards against a busy node that never detects a failed member. */
    @Test
    void busyNodeDetectsAMemberThatIsGone() {
        MembershipCore core = fastCore();
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping()), 0);
        for (long now = 0; now <= 2_000; now += 1_000) {
            core.handle(new MembershipInput.Tick(), now);
        }
        assertThat(liveness(core), is(Liveness.SUSPECT));
        core.handle(new MembershipInput.Tick(), 3_000);
        core.handle(new MembershipInput.Tick(), 4_000);
        core.handle(new MembershipInput.Tick(), 5_000);
        assertThat(liveness(core), is(Liveness.DEAD));
    }

    /** Guards against a late detection of a failed member by a node that is not busy. */
    @Test
    void timelyNodeDetectsAMemberThatIsGone() {
        MembershipCore core = fastCore();
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping()), 0);
        for (long now = 0; now <= 400; now += 100) {
            core.handle(new MembershipInput.Tick(), now);
        }
        assertThat(liveness(core), is(Liveness.SUSPECT));
        for (long now = 500; now <= 1_900; now += 100) {
            core.handle(new MembershipInput.Tick(), now);
        }
        assertThat(liveness(core), is(Liveness.DEAD));
    }

    /**
     * Guards against an answer to a ping of an earlier process that answers a ping of this one: the configuration would
     * count as confirmed later than it was, and a member as alive that is not.
     */
    @Test
    void answerToAPingOfAnEarlierProcessIsIgnored() {
        MembershipCore core = fastCore();
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping()), 0);
        long own = pingsToOther(core.handle(new MembershipInput.Tick(), 0)).getFirst();
        byte[] confirmed = confirmedPing(OTHER);
        for (long earlier :
                List.of(new CallNumber(new Incarnation(4), (int) own).requestId(), Integer.toUnsignedLong((int) own))) {
            assertThat(
                    core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.ACK, earlier, confirmed), 10),
                    everyItem(not(instanceOf(MembershipEffect.Confirmed.class))));
        }
        assertThat(
                core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.ACK, own, confirmed), 10),
                hasItem(instanceOf(MembershipEffect.Confirmed.class)));
    }

    /** Guards against a member that counts as alive because another one answered with the number of its ping. */
    @Test
    void answerOfAnotherMemberThanThePingedOneIsIgnored() {
        MembershipCore core = fastCore();
        NodeId third = new NodeId("third");
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping()), 0);
        long own = pingsToOther(core.handle(new MembershipInput.Tick(), 0)).getFirst();
        ProcessName thirdProcess = new ProcessName(third, new Incarnation(1));
        assertThat(
                core.handle(new MembershipInput.Received(thirdProcess, FrameType.ACK, own, confirmedPing(third)), 10),
                everyItem(not(instanceOf(MembershipEffect.Confirmed.class))));
    }

    /** Guards against an answer that goes to a later process than the one that asked, directly or for another node. */
    @Test
    void answersGoToTheProcessThatAsked() {
        MembershipCore core = core();
        Optional<Incarnation> asker = Optional.of(new Incarnation(1));
        List<MembershipEffect> acks =
                core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping()), 0);
        assertThat(((MembershipEffect.Send) acks.getFirst()).run(), is(asker));
        NodeId third = new NodeId("third");
        byte[] request = MembershipCodec.pack(new MembershipCodec.PingRequest(third, "third"));
        MembershipEffect.Send ping = (MembershipEffect.Send)
                core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING_REQUEST, 77, request), 0)
                        .getFirst();
        // The node that asked has started again when the answer comes.
        byte[] restarted = pingFrom(new MemberUpdate(
                OTHER, new MemberState(new Incarnation(2), 0, Liveness.ALIVE, false), Optional.of(location("other"))));
        core.handle(
                new MembershipInput.Received(new ProcessName(OTHER, new Incarnation(2)), FrameType.PING, 1, restarted),
                0);
        MembershipEffect.Send relayed = core
                .handle(
                        new MembershipInput.Received(
                                new ProcessName(third, new Incarnation(1)),
                                FrameType.ACK,
                                ping.requestId(),
                                confirmedPing(third)),
                        1)
                .stream()
                .flatMap(e ->
                        e instanceof MembershipEffect.Send s && s.requestId() == 77 ? Stream.of(s) : Stream.empty())
                .findFirst()
                .orElseThrow();
        assertThat(relayed.to(), is(Optional.of(OTHER)));
        assertThat(relayed.run(), is(asker));
    }

    /** Guards against item versions of an ended process that count as those of the next one, which has no items yet. */
    @Test
    void versionsOfAnEndedProcessAreForgotten() {
        MembershipCore core = core();
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, versionPing(1, 9)), 0);
        assertThat(core.membersBehind(Item.BUNDLE, 9), equalTo(List.of()));
        core.handle(
                new MembershipInput.Received(
                        new ProcessName(OTHER, new Incarnation(2)), FrameType.PING, 1, versionPing(2, 0)),
                0);
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, versionPing(1, 9)), 0);
        assertThat(core.membersBehind(Item.BUNDLE, 9), equalTo(List.of(OTHER)));
        // Learnt from a third node, before the next process has reported anything.
        MemberUpdate again = new MemberUpdate(
                OTHER, new MemberState(new Incarnation(3), 0, Liveness.ALIVE, false), Optional.of(location("other")));
        core.handle(
                new MembershipInput.Received(
                        new ProcessName(OTHER, new Incarnation(2)), FrameType.PING, 1, versionPing(2, 9)),
                0);
        core.handle(
                new MembershipInput.Received(
                        new ProcessName(new NodeId("third"), new Incarnation(1)),
                        FrameType.PING,
                        1,
                        pingFrom(report("third", 0), again)),
                0);
        assertThat(core.membersBehind(Item.BUNDLE, 9), hasItem(OTHER));
    }

    private static byte[] versionPing(long start, long version) {
        MemberState state = new MemberState(new Incarnation(start), 0, Liveness.ALIVE, false);
        MemberUpdate sender = new MemberUpdate(OTHER, state, Optional.of(location("other")));
        return MembershipCodec.pack(
                new MembershipCodec.PingBody(sender, List.of(version, version), 0, 2, -1, 0, List.of(), List.of()));
    }

    private static byte[] confirmedPing(NodeId sender) {
        MemberUpdate update = new MemberUpdate(sender, ALIVE, Optional.of(location(sender.value())));
        return MembershipCodec.pack(
                new MembershipCodec.PingBody(update, List.of(0L, 0L), 0, 2, 100, 0, List.of(), List.of()));
    }

    /** Guards against a live node that stays dead in the tables of the others. */
    @Test
    void refutesReportOfItsOwnDeath() {
        MembershipCore core = core();
        MemberState dead = new MemberState(new Incarnation(5), 3, Liveness.DEAD, false);
        MemberUpdate report = new MemberUpdate(new NodeId("self"), dead, Optional.empty());
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping(report)), 0);
        MemberState mine = core.members().stream()
                .filter(m -> m.id().value().equals("self"))
                .findFirst()
                .orElseThrow()
                .state();
        assertThat(mine, equalTo(new MemberState(new Incarnation(5), 4, Liveness.ALIVE, false)));
    }

    /** Guards I13: a node that leaves announces it at once, and is not offered to callers. */
    @Test
    void announcesThatItLeaves() {
        MembershipCore core = core();
        core.handle(new MembershipInput.Received(OTHER_PROCESS, FrameType.PING, 1, ping()), 0);
        List<MembershipEffect> effects = core.handle(new MembershipInput.Leave(), 0);
        List<FrameType> sent = new ArrayList<>();
        for (MembershipEffect effect : effects) {
            if (effect instanceof MembershipEffect.Send send) {
                sent.add(send.type());
            }
        }
        assertThat(sent, hasItem(FrameType.LEAVING));
        assertThat(
                core.members().stream()
                        .filter(Member::acceptsWork)
                        .map(Member::id)
                        .toList(),
                equalTo(List.of(OTHER)));
    }

    /** Guards the size limit of the gossip in a ping. */
    @Test
    void keepsPingsSmall() {
        GossipQueue gossip = new GossipQueue();
        for (int i = 0; i < 500; i++) {
            gossip.add(
                    new MemberUpdate(new NodeId("node-" + i), state(i % 64), Optional.of(location("10.0.0.1:7000"))));
            gossip.add(new Item("endpoint/" + i, 1, new byte[100]));
        }
        List<MemberUpdate> updates = new ArrayList<>();
        List<Item> items = new ArrayList<>();
        gossip.fill(340, updates, items);
        int bytes = items.stream().mapToInt(i -> i.payload().length).sum()
                + updates.stream().mapToInt(MembershipCodec::size).sum();
        assertThat(bytes, lessThanOrEqualTo(GossipQueue.MAX_BYTES));
        assertThat(gossip.add(new Item("endpoint/499", 1, new byte[1])), is(false));
    }

    /** Guards against all duties moving when one member leaves. */
    @Test
    void rankingMovesFewDuties() {
        List<NodeId> nodes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            nodes.add(new NodeId("node-" + i));
        }
        int moved = 0;
        for (int scope = 0; scope < 200; scope++) {
            NodeId before = Rendezvous.first("scope-" + scope, 1, nodes).get(0);
            NodeId after =
                    Rendezvous.first("scope-" + scope, 1, nodes.subList(1, 20)).get(0);
            moved += before.equals(after) ? 0 : 1;
        }
        assertThat(moved, lessThan(30));
    }
}
