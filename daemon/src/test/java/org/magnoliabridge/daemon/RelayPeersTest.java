package org.magnoliabridge.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MemberState;
import org.magnoliabridge.membership.MemberState.Liveness;
import org.magnoliabridge.membership.NodeLocation;

class RelayPeersTest {
    private static final int NODES = 66;
    // 35% of the nodes.
    private static final int TURNED_AWAY = 23;
    private static final int NOT_REPORTED = 0;
    private static final int SERVED = 1;
    private static final int LOST = 2;
    private static final int CALLS = 1_000;
    private static final NodeId SELF = id(0);

    private final RelayPeers peers = new RelayPeers(SELF, new Random(7));

    private static NodeId id(int index) {
        return new NodeId("node-" + index);
    }

    private static boolean isTurnedAway(NodeId node) {
        return Integer.parseInt(node.value().substring("node-".length())) < TURNED_AWAY;
    }

    private static Member member(int index, Liveness liveness, int storeChanges) {
        MemberState state = new MemberState(new Incarnation(1), 0, liveness, false, storeChanges);
        NodeLocation location = new NodeLocation("10.0.0.1:1", "10.0.0.1:2", new DataCentre("d"), new Region("r"));
        return new Member(id(index), state, location, 0);
    }

    private static List<Member> members(boolean reported) {
        List<Member> result = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            int known = i < TURNED_AWAY ? LOST : SERVED;
            result.add(member(i, Liveness.ALIVE, reported ? known : NOT_REPORTED));
        }
        return result;
    }

    /** Relays a call; returns whether a node carried it. */
    private boolean call(RelayPeers choice, List<Member> members) {
        for (NodeId node : choice.choose(members)) {
            if (!isTurnedAway(node)) {
                choice.carried(node);
                return true;
            }
            choice.failed(node);
        }
        choice.noneCarried(members);
        return false;
    }

    /** Guards against relayed calls that fail although most nodes reach the store. */
    @Test
    void oneCallIsCarriedWhenNodesReport() {
        int failures = 0;
        for (int i = 0; i < CALLS; i++) {
            failures += call(new RelayPeers(SELF, new Random(i)), members(true)) ? 0 : 1;
        }
        assertThat(failures, is(0));
    }

    /** Guards against the same while a loss of the store has not been reported yet, or by nodes that do not report. */
    @Test
    void callsAfterTheFirstCarriedOneAreCarried() {
        List<Member> members = members(false);
        int first = 0;
        while (!call(peers, members)) {
            first++;
        }
        assertThat(first < TURNED_AWAY, is(true));
        int failures = 0;
        for (int i = 0; i < CALLS; i++) {
            failures += call(peers, members) ? 0 : 1;
        }
        assertThat(failures, is(0));
    }

    /** Guards against calls that stay with a node which no longer reaches the store. */
    @Test
    void carrierThatFailsOrLosesTheStoreIsLeft() {
        List<Member> members = members(true);
        peers.carried(id(30));
        assertThat(peers.choose(members).getFirst(), is(id(30)));
        members.set(30, member(30, Liveness.ALIVE, LOST));
        assertThat(peers.choose(members), not(hasItem(id(30))));
        peers.carried(id(40));
        peers.failed(id(40));
        for (int i = 0; i < CALLS; i++) {
            assertThat(peers.choose(members), not(hasItem(id(40))));
        }
        members.set(50, member(50, Liveness.DEAD, SERVED));
        peers.carried(id(50));
        assertThat(peers.choose(members), not(hasItem(id(50))));
    }

    /** Guards against nodes that are never tried again after an outage of the store. */
    @Test
    void allNodesAreTriedAgainAfterAnOutage() {
        List<Member> two = List.of(
                member(0, Liveness.ALIVE, SERVED), member(1, Liveness.ALIVE, LOST), member(2, Liveness.ALIVE, LOST));
        assertThat(peers.choose(two), containsInAnyOrder(id(1), id(2)));
        Set<NodeId> tried = new HashSet<>();
        List<Member> members = members(false);
        for (int i = 0; i < NODES; i++) {
            List<NodeId> chosen = peers.choose(members);
            tried.addAll(chosen);
            chosen.forEach(peers::failed);
            peers.noneCarried(members);
        }
        assertThat(tried.size(), is(NODES - 1));
        peers.carried(id(5));
        assertThat(peers.choose(members).getFirst(), is(id(5)));
    }
}
