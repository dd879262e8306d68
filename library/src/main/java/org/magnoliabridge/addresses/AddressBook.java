package org.magnoliabridge.addresses;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.Rendezvous;

/**
 * Selects the node addresses that a caller should use: the nearest first, and of those the least loaded first. Nodes
 * that drain or are suspect are left out.
 *
 * <pre>{@code
 * AddressBook book = new AddressBook(members);
 * List<AddressBook.Entry> answer = book.addresses("10.1.2.3", Optional.of(new DataCentre("trent")));
 * }</pre>
 */
public final class AddressBook {
    /** Default limit of the addresses in one answer. */
    public static final int MAX_ADDRESSES = 3;

    // Loads are compared in steps of this width, so that small differences do not send all callers to one node.
    private static final int LOAD_STEP_PERMILLE = 200;
    private static final int MAX_WEIGHT = 100;
    private static final int MAX_LOAD_PERMILLE = 1_000;

    private final List<Member> members;

    /** Creates the address book from the member table, which includes this node. */
    public AddressBook(List<Member> members) {
        this.members = members.stream().filter(Member::acceptsWork).toList();
    }

    /**
     * Returns up to {@link #MAX_ADDRESSES} addresses, in the order in which to try them.
     *
     * @param caller the caller's IP address; the order differs between callers and is stable for each caller
     * @param dataCentre the caller's data centre, if it states one
     */
    public List<Entry> addresses(String caller, Optional<DataCentre> dataCentre) {
        return addresses(caller, dataCentre, MAX_ADDRESSES);
    }

    /**
     * Returns up to {@code max} addresses, in the order in which to try them.
     *
     * @param max maximum number of addresses
     */
    public List<Entry> addresses(String caller, Optional<DataCentre> dataCentre, int max) {
        Map<NodeId, Integer> rank = rankByCaller(caller);
        Optional<Region> region = dataCentre.flatMap(this::region);
        List<Member> sorted = new ArrayList<>(members);
        sorted.sort((a, b) -> {
            int near = Integer.compare(distance(a, dataCentre, region), distance(b, dataCentre, region));
            int load = Integer.compare(loadStep(a), loadStep(b));
            int order = Integer.compare(rank.get(a.id()), rank.get(b.id()));
            return near != 0 ? near : load != 0 ? load : order;
        });
        return sorted.stream().limit(max).map(AddressBook::entry).toList();
    }

    private Map<NodeId, Integer> rankByCaller(String caller) {
        Map<NodeId, Integer> rank = new HashMap<>();
        for (NodeId id :
                Rendezvous.rank(caller, members.stream().map(Member::id).toList())) {
            rank.put(id, rank.size());
        }
        return rank;
    }

    private Optional<Region> region(DataCentre dataCentre) {
        return members.stream()
                .filter(m -> m.location().dataCentre().equals(dataCentre))
                .map(m -> m.location().region())
                .findFirst();
    }

    private static int distance(Member m, Optional<DataCentre> dataCentre, Optional<Region> region) {
        if (dataCentre.isEmpty() || dataCentre.get().equals(m.location().dataCentre())) {
            return 0;
        }
        return region.isPresent() && region.get().equals(m.location().region()) ? 1 : 2;
    }

    private static int loadStep(Member m) {
        return m.loadPermille() / LOAD_STEP_PERMILLE;
    }

    private static Entry entry(Member m) {
        int free = Math.max(0, MAX_LOAD_PERMILLE - m.loadPermille());
        int weight = Math.max(1, free * MAX_WEIGHT / MAX_LOAD_PERMILLE);
        return new Entry(m.location().callerAddress(), m.location().dataCentre(), weight);
    }

    /**
     * One node address.
     *
     * @param address IP address and port
     * @param weight 1 to 100; a higher weight means more free capacity
     */
    public record Entry(String address, DataCentre dataCentre, int weight) {}
}
