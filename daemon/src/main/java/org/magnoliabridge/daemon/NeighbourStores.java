package org.magnoliabridge.daemon;

import java.util.List;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.RecentChanges;
import org.magnoliabridge.external.StoreRequest.Priority;

/** Creates the stores whose changes one node of a data centre reads for the others. */
final class NeighbourStores {
    private static final NeighbourReader.Times FLEET_READS = new NeighbourReader.Times(800, 600, 500);
    // A change is known to a reader at once, and to the others at their next question; a reader that has stopped is
    // noticed in time for the others to read the store.
    static final NeighbourReader.Times CONFIG_READS = new NeighbourReader.Times(1_100, 1_000, 400);

    private final GatewayContext context;
    private final PeerCalls peers;
    private final NeighbourChoice neighbour;

    NeighbourStores(GatewayContext context, PeerCalls peers, NeighbourChoice neighbour) {
        this.context = context;
        this.peers = peers;
        this.neighbour = neighbour;
    }

    /** Returns the store to read the endpoint list from. */
    ObjectStore fleet() {
        // The same content means the same to routing, whatever heartbeats an entry shows.
        RecentChanges recent = new RecentChanges(e -> context.platform().fleet(new ObjectStore.Listing(0, List.of(e))));
        return reader(Priority.STATUS, PeerCalls.Method.READ_CHANGES, recent, FLEET_READS);
    }

    /** Returns the store to read the configuration from. */
    ObjectStore configuration() {
        RecentChanges recent = new RecentChanges(ObjectStore.Entry::version);
        return reader(Priority.DECISION, PeerCalls.Method.READ_CONFIGURATION, recent, CONFIG_READS);
    }

    /**
     * Returns the store to read the evacuations from.
     *
     * @param evacuateMs time in which an evacuation must be in force
     */
    ObjectStore evacuations(long evacuateMs) {
        RecentChanges recent = new RecentChanges(ObjectStore.Entry::version);
        return reader(
                Priority.DECISION, PeerCalls.Method.READ_EVACUATIONS, recent, EvacuationDriver.readTimes(evacuateMs));
    }

    private ObjectStore reader(
            Priority priority, PeerCalls.Method method, RecentChanges recent, NeighbourReader.Times times) {
        NeighbourReader reader = new NeighbourReader(
                context.budget().at(priority),
                (node, call, limitMs) -> peers.call(node, method, call, limitMs).get(),
                neighbour::neighbour,
                recent,
                times,
                context.clock(),
                context.metrics());
        peers.serve(method, reader::answer);
        return reader;
    }
}
