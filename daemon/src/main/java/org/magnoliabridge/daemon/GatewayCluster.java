package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.magnoliabridge.core.Closer;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreRequest.Priority;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.membership.Item;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MemberState;
import org.magnoliabridge.membership.MembershipCore;
import org.magnoliabridge.membership.MembershipInput;
import org.magnoliabridge.membership.MembershipSettings;
import org.magnoliabridge.membership.NodeLocation;
import org.magnoliabridge.membership.StoreAccess;
import org.magnoliabridge.settings.SocketAddresses;
import org.magnoliabridge.wire.ClusterSecrets;
import org.magnoliabridge.wire.PeerConnections;
import org.magnoliabridge.wire.PeerListener;

/** The membership of the cluster and the calls to the other nodes. */
final class GatewayCluster {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final GatewayContext context;
    private final MembershipDriver membership;
    private final PeerCalls peers;
    private final StoreAccess storeAccess;
    private final RegistryReads registryReads;

    /** Opens the peer port and starts to join the cluster. */
    GatewayCluster(GatewayContext context, Closer closer) throws IOException {
        this.context = context;
        GatewaySettings settings = context.settings();
        NodeRegistry.Joined joined = context.joined();
        NodeLocation location = new NodeLocation(
                SocketAddresses.format(settings.listen().peers()),
                SocketAddresses.format(settings.listen().callers()),
                settings.dataCentre(),
                settings.region(),
                settings.capacityMillicores());
        MemberState state = new MemberState(joined.incarnation(), 0, MemberState.Liveness.ALIVE, false);
        MembershipCore core = new MembershipCore(
                new Member(settings.nodeId(), state, location, 0),
                List.copyOf(others(joined.peerAddresses()).values()),
                context.random(),
                MembershipSettings.FAST);
        membership = new MembershipDriver(settings.nodeId(), core, context.loop(), context.clock(), context.metrics());
        ClusterSecrets secrets = new ClusterSecrets(joined.secret().getBytes(StandardCharsets.UTF_8), Optional.empty());
        PeerConnections connections = closer.register(
                new PeerConnections(settings.nodeId(), joined.incarnation(), secrets, membership, context.clock()));
        membership.connect(connections);
        context.metrics()
                .gauge(
                        "peers.frames.misaddressed",
                        () -> () -> connections.stats().misaddressed());
        closer.register(new PeerListener(settings.listen().peers(), connections));
        peers = new PeerCalls(joined.incarnation(), membership, context.loop(), context.metrics());
        storeAccess = new StoreAccess(context.clock().nowMs());
        registryReads = new RegistryReads(context.clock().nowMs());
        context.loop().post(() -> publishNodes(joined.peerAddresses()));
    }

    /** Adds a listener for whether this node reaches a majority of the members. */
    void onMajority(Consumer<Boolean> listener) {
        membership.addListener(new MembershipDriver.Listener() {
            @Override
            public void delivered(Item item) {}

            @Override
            public void majority(boolean reached) {
                listener.accept(reached);
            }
        });
    }

    MembershipDriver membership() {
        return membership;
    }

    PeerCalls peers() {
        return peers;
    }

    /** Returns whether a process is known to have ended, because its node has started again; control thread only. */
    boolean hasEnded(String processName) {
        Optional<ProcessName> process = ProcessName.parse(processName);
        Stream<ProcessName> known = Stream.concat(
                Stream.of(context.process()), membership.members().stream().map(Member::process));
        return process.isPresent() && known.anyMatch(process.get()::isBefore);
    }

    /** Handles a clock tick; control thread only. */
    void tick() {
        boolean storeServes = storeAccess.update(
                context.path().isStoreUnavailable(), context.clock().nowMs());
        membership.handle(new MembershipInput.StoreServing(storeServes));
        membership.handle(new MembershipInput.Tick());
        long nowMs = context.clock().nowMs();
        if (registryReads.isDue(nowMs, membership.members().size())) {
            registryReads.read(nowMs);
            Thread.ofVirtual().name("node-registry").start(this::readRegistry);
        }
    }

    /** Announces to the other nodes that this node leaves; control thread only. */
    void leave() {
        membership.handle(new MembershipInput.Leave());
    }

    private void readRegistry() {
        try {
            Map<NodeId, String> nodes =
                    new NodeRegistry(context.budget().at(Priority.STATUS), context.newBackoff()).recentNodes();
            context.loop().post(() -> publishNodes(nodes));
        } catch (PlatformException e) {
            LOG.atInfo().withCause(e).log("cannot read the node registry; retrying later");
        }
    }

    private void publishNodes(Map<NodeId, String> nodes) {
        membership.handle(new MembershipInput.Instances(nodes));
    }

    private Map<NodeId, String> others(Map<NodeId, String> nodes) {
        Map<NodeId, String> others = new TreeMap<>(nodes);
        others.remove(context.settings().nodeId());
        return others;
    }
}
