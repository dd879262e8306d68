package org.magnoliabridge.addresses;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MemberState;
import org.magnoliabridge.membership.MemberState.Liveness;
import org.magnoliabridge.membership.NodeLocation;

class AddressBookTest {
    private static final Optional<DataCentre> TRENT = Optional.of(new DataCentre("trent"));
    private final List<Member> members = new ArrayList<>();

    private void add(String dc, String region, int load, Liveness liveness, boolean leaving) {
        String name = dc + members.size();
        NodeLocation location = new NodeLocation(name + ":1", name, new DataCentre(dc), new Region(region));
        MemberState state = new MemberState(new Incarnation(1), 0, liveness, leaving);
        members.add(new Member(new NodeId(name), state, location, load));
    }

    private List<String> addresses(String caller, Optional<DataCentre> dc) {
        return new AddressBook(members)
                .addresses(caller, dc).stream().map(AddressBook.Entry::address).toList();
    }

    /** Guards against answers with addresses of nodes that drain, are suspect or are dead. */
    @Test
    void leavesOutDrainingAndSuspectNodes() {
        add("trent", "midlands", 0, Liveness.SUSPECT, false);
        add("trent", "midlands", 0, Liveness.ALIVE, true);
        add("trent", "midlands", 0, Liveness.DEAD, false);
        assertThat(addresses("10.0.0.1", TRENT), empty());
        add("ub-east", "mn-central", 999, Liveness.ALIVE, false);
        assertThat(addresses("10.0.0.1", TRENT), contains("ub-east3"));
    }

    /** Guards the order: nodes in the data centre of the caller, then in its region, then others; each by load. */
    @Test
    void prefersNearThenLeastLoaded() {
        add("ub-east", "mn-central", 0, Liveness.ALIVE, false);
        add("soar", "midlands", 0, Liveness.ALIVE, false);
        add("trent", "midlands", 900, Liveness.ALIVE, false);
        add("trent", "midlands", 100, Liveness.ALIVE, false);
        assertThat(addresses("10.0.0.1", TRENT), contains("trent3", "trent2", "soar1"));
        assertThat(addresses("10.0.0.1", Optional.empty()), containsInAnyOrder("ub-east0", "soar1", "trent3"));
    }

    /**
     * Guards against sending all callers to one node, and against an order that changes between queries. The loads
     * differ too little to count, so each of the four nodes should come first for about 100 of the 400 callers.
     */
    @Test
    void spreadsCallersAndStaysStable() {
        for (int i = 0; i < 4; i++) {
            add("trent", "midlands", 10 * i, Liveness.ALIVE, false);
        }
        Map<String, Integer> callersByFirstAddress = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            String caller = "10.0.0." + i;
            assertThat(addresses(caller, TRENT), equalTo(addresses(caller, TRENT)));
            callersByFirstAddress.merge(addresses(caller, TRENT).get(0), 1, Integer::sum);
        }
        for (int i = 0; i < 4; i++) {
            assertThat(callersByFirstAddress.getOrDefault("trent" + i, 0), greaterThan(50));
        }
    }
}
