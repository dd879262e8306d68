package org.magnoliabridge.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.edge.ConnectionBudget.Decision;

class ConnectionBudgetTest {
    private static final int CALLERS = 3;
    private static final long MAX_HEAD_BYTES = 100;
    private static final List<ServerPort> PORTS = List.of(ServerPort.values());
    private static final ConnectionRooms ROOMS = new ConnectionRooms(Map.of(
            ServerPort.CALLERS, CALLERS, ServerPort.READINESS, 1, ServerPort.DIRECTORY, 2, ServerPort.METRICS, 1));

    private final ConnectionBudget<String> budget = new ConnectionBudget<>(ROOMS, MAX_HEAD_BYTES);

    private Decision<String> open(String id) {
        return budget.opened(0, ServerPort.CALLERS, id);
    }

    /** Guards against callers that stop in the middle of small bodies and keep all others out. */
    @Test
    void stalledBodiesGiveWayToNewConnections() {
        for (String id : List.of("progresses", "whole", "stalled")) {
            open(id);
            budget.bodyBegins(0, id);
        }
        assertThat(budget.opened(999, ServerPort.CALLERS, "early"), is(new Decision.Refused<>()));
        budget.received(900, "progresses", 1);
        budget.bodyEnds("whole");
        assertThat(budget.opened(1_000, ServerPort.CALLERS, "a"), is(new Decision.Replaces<>("stalled")));
        budget.requestBegins("a");
        assertThat(budget.opened(1_000, ServerPort.CALLERS, "b"), is(new Decision.Refused<>()));
        assertThat(budget.open(ServerPort.CALLERS), is(CALLERS));
    }

    /** Guards against callers that open connections without end and displace those that were used last. */
    @Test
    void newConnectionReplacesTheOneIdleForLongest() {
        open("a");
        open("b");
        assertThat(open("c"), is(new Decision.Accepted<>()));
        budget.requestBegins("a");
        budget.requestEnds("a");
        assertThat(open("d"), is(new Decision.Replaces<>("b")));
        assertThat(open("e"), is(new Decision.Replaces<>("c")));
        assertThat(open("f"), is(new Decision.Replaces<>("a")));
        assertThat(budget.open(ServerPort.CALLERS), is(CALLERS));
    }

    /** Guards against a request that is cut off for a new connection. */
    @Test
    void newConnectionIsRefusedIfAllHaveARequest() {
        for (String id : List.of("a", "b", "c")) {
            open(id);
            budget.requestBegins(id);
        }
        assertThat(open("d"), is(new Decision.Refused<>()));
        budget.requestEnds("b");
        assertThat(open("e"), is(new Decision.Replaces<>("b")));
    }

    /** Guards against callers that make a node look dead to its platform. */
    @Test
    void portsHaveRoomOfTheirOwn() {
        for (int i = 0; i < 2 * CALLERS; i++) {
            open("c" + i);
        }
        assertThat(budget.opened(0, ServerPort.READINESS, "r"), is(new Decision.Accepted<>()));
        assertThat(budget.opened(0, ServerPort.READINESS, "r2"), is(new Decision.Replaces<>("r")));
        assertThat(budget.open(ServerPort.CALLERS), is(CALLERS));
    }

    /** Guards against half heads that fill the memory, or that displace smaller ones. */
    @Test
    void largestHeadsAreClosedBeyondTheLimit() {
        open("a");
        open("b");
        open("c");
        assertThat(budget.received(0, "a", 30), is(empty()));
        assertThat(budget.received(0, "b", 60), is(empty()));
        assertThat(budget.received(0, "c", 11), contains("b"));
        assertThat(budget.headBytes(), is(41L));
        assertThat(budget.received(0, "a", 80), contains("a"));
        assertThat(budget.received(0, "a", 80), is(empty()));
        assertThat(budget.headBytes(), is(11L));
        assertThat(budget.open(ServerPort.CALLERS), is(1));
    }

    /** Guards against bodies, which have a limit of their own, being counted as heads. */
    @Test
    void completeHeadsDoNotCount() {
        open("a");
        budget.received(0, "a", 90);
        budget.requestBegins("a");
        assertThat(budget.received(0, "a", 1_000), is(empty()));
        assertThat(budget.headBytes(), is(0L));
        budget.requestEnds("a");
        budget.received(0, "a", 5);
        assertThat(budget.headBytes(), is(5L));
        budget.closed("a");
        assertThat(budget.headBytes(), is(0L));
    }

    /** Guards against a late event of a closed connection that changes the counts. */
    @Test
    void eventsOfClosedConnectionsAreIgnored() {
        open("a");
        budget.closed("a");
        budget.closed("a");
        budget.requestBegins("a");
        budget.requestEnds("a");
        budget.received(0, "a", 10);
        assertThat(budget.open(ServerPort.CALLERS), is(0));
        assertThat(budget.headBytes(), is(0L));
        assertThat(open("a"), is(new Decision.Accepted<>()));
        assertThrows(IllegalArgumentException.class, () -> open("a"));
    }

    /** Guards against any order of events that passes a limit, cuts off a request or refuses without need. */
    @Property(tries = 500)
    void keepsItsLimitsInAnyOrder(@ForAll long seed) {
        Random random = new Random(seed);
        Model model = new Model();
        for (int i = 0; i < 200; i++) {
            model.step(i, random);
            for (ServerPort port : ServerPort.values()) {
                assertThat(model.tested.open(port), is(model.at(port).size()));
                assertThat(model.tested.open(port), is(lessThanOrEqualTo(ROOMS.of(port))));
            }
            assertThat(model.tested.headBytes(), is(model.headBytes()));
            assertThat(model.headBytes(), is(lessThanOrEqualTo(MAX_HEAD_BYTES)));
        }
    }

    /** What the connections do, with the rules as a search over all of them. */
    private static final class Model {
        private final ConnectionBudget<Integer> tested = new ConnectionBudget<>(ROOMS, MAX_HEAD_BYTES);
        private final Map<Integer, State> states = new LinkedHashMap<>();

        private static final class State {
            private final ServerPort port;
            private long idleSince;
            private boolean busy;
            private long headBytes;

            State(ServerPort port, long now) {
                this.port = port;
                idleSince = now;
            }
        }

        List<State> at(ServerPort port) {
            return states.values().stream().filter(s -> s.port == port).toList();
        }

        long headBytes() {
            return states.values().stream().mapToLong(s -> s.headBytes).sum();
        }

        void step(int now, Random random) {
            if (states.isEmpty() || random.nextInt(3) == 0) {
                open(now, PORTS.get(random.nextInt(PORTS.size())));
                return;
            }
            int id = new ArrayList<>(states.keySet()).get(random.nextInt(states.size()));
            State state = states.get(id);
            if (random.nextInt(8) == 0) {
                tested.closed(id);
                states.remove(id);
            } else if (state.busy) {
                tested.requestEnds(id);
                state.busy = false;
                state.idleSince = now;
            } else if (random.nextBoolean()) {
                tested.requestBegins(id);
                state.busy = true;
                state.headBytes = 0;
            } else {
                receive(id, state, 1 + random.nextInt(60));
            }
        }

        private void open(int now, ServerPort port) {
            switch (tested.opened(0, port, now)) {
                case Decision.Accepted<Integer> accepted -> assertThat(at(port).size() < ROOMS.of(port), is(true));
                case Decision.Refused<Integer> refused -> {
                    assertThat(at(port).size(), is(ROOMS.of(port)));
                    assertThat(at(port).stream().allMatch(s -> s.busy), is(true));
                    return;
                }
                case Decision.Replaces<Integer> replaces -> {
                    assertThat(at(port).size(), is(ROOMS.of(port)));
                    State replaced = states.remove(replaces.idle());
                    assertThat(replaced.port, is(port));
                    assertThat(replaced.busy, is(false));
                    assertThat(at(port).stream().noneMatch(s -> !s.busy && s.idleSince < replaced.idleSince), is(true));
                }
            }
            states.put(now, new State(port, now));
        }

        private void receive(int id, State state, int bytes) {
            state.headBytes += bytes;
            for (int closed : tested.received(0, id, bytes)) {
                assertThat(headBytes() > MAX_HEAD_BYTES, is(true));
                State largest = states.remove(closed);
                assertThat(largest.busy, is(false));
                assertThat(states.values().stream().allMatch(s -> s.headBytes <= largest.headBytes), is(true));
            }
        }
    }

    /** Guards against ports that use the descriptors that the node needs for endpoints, or that callers could use. */
    @Test
    void roomsAreThreeQuartersOfTheDescriptorsBesideFiles() {
        for (int descriptors : List.of(400, 512, 2_212, 4_100, 20_000)) {
            assertThat(ConnectionRooms.of(descriptors).all(), is((descriptors - 200) * 3 / 4));
        }
        assertThat(ConnectionRooms.of(2_212).of(ServerPort.CALLERS), is(1_289));
        assertThat(ConnectionRooms.of(64).of(ServerPort.CALLERS), is(1));
    }
}
