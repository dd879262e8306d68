package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.PublicKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliabridge.bundle.BundleCore;
import org.magnoliabridge.bundle.BundleInput;
import org.magnoliabridge.bundle.BundleSignature;
import org.magnoliabridge.core.Closer;
import org.magnoliabridge.core.SuspensionDetector;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.ObjectWatch;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreRequest.Priority;
import org.magnoliabridge.lease.LeaseCore;
import org.magnoliabridge.lease.LeaseSettings;
import org.magnoliabridge.membership.Item;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MemberState;
import org.magnoliabridge.membership.MembershipCore;
import org.magnoliabridge.membership.MembershipInput;
import org.magnoliabridge.membership.NodeLocation;
import org.magnoliabridge.settings.SocketAddresses;
import org.magnoliabridge.wire.ClusterSecrets;
import org.magnoliabridge.wire.PeerConnections;
import org.magnoliabridge.wire.PeerListener;

/** Membership, configuration and leases of a node. */
final class ControlPlane {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long MEMBERSHIP_TICK_MS = 100;
    private static final long CONFIGURATION_TICK_MS = 250;
    private static final long LEASE_TICK_MS = 200;
    private static final long WATCH_WAIT_MS = 10_000;
    private static final int WATCHERS_PER_REGION = 2;
    private static final int LEASE_CANDIDATES = 3;

    private final NodeContext context;
    private final MembershipDriver membership;
    private final ConfigurationDriver configuration;
    private final String watchScope;
    private final List<ScopeLease> scopes = new ArrayList<>();
    private Optional<ObjectWatch> watch = Optional.empty();

    private record ScopeLease(String name, LeaseDriver lease) {}

    /** Opens the peer port and starts to join the cluster. */
    ControlPlane(NodeContext context, Closer closer) throws IOException {
        this.context = context;
        NodeSettings settings = context.settings();
        List<String> seeds =
                settings.seeds().stream().map(SocketAddresses::format).toList();
        MembershipCore core = new MembershipCore(self(context), seeds, context.random());
        membership = new MembershipDriver(settings.nodeId(), core, context.loop(), context.clock(), context.metrics());
        ClusterSecrets secrets = new ClusterSecrets(
                bytes(settings.clusterSecrets().get(0)),
                settings.clusterSecrets().stream().skip(1).findFirst().map(ControlPlane::bytes));
        PeerConnections peers = closer.register(
                new PeerConnections(settings.nodeId(), context.incarnation(), secrets, membership, context.clock()));
        membership.connect(peers);
        closer.register(new PeerListener(settings.listen().peers(), peers));
        configuration = new ConfigurationDriver(
                new BundleCore(operatorKeys(settings)),
                context.clock(),
                context.store(),
                membership,
                context.metrics());
        membership.addListener(new ConfigurationFromPeers());
        watchScope = "watch/" + settings.region();
        configuration.onChange(config -> awaitMembers());
        closer.register(() -> watch.ifPresent(ObjectWatch::close));
    }

    MembershipDriver membership() {
        return membership;
    }

    ConfigurationDriver configuration() {
        return configuration;
    }

    /** Adds a lease scope that at most one process in the system holds at a time. */
    LeaseDriver addScope(String scope) {
        LeaseCore core = new LeaseCore(
                new ObjectKey("leases/" + scope),
                context.settings().nodeId(),
                context.incarnation(),
                LeaseSettings.DEFAULT,
                context.clock().nowMs());
        LeaseDriver lease = new LeaseDriver(
                scope,
                core,
                context.loop(),
                context.clock(),
                new SuspensionDetector(context.clock(), context.wallClock()),
                context.store(),
                context.metrics());
        scopes.add(new ScopeLease(scope, lease));
        return lease;
    }

    /** Starts the periodic work. */
    void start() {
        context.loop().postPeriodically(MEMBERSHIP_TICK_MS, () -> {
            membership.handle(
                    new MembershipInput.Confirmation(configuration.core().confirmedAtMs()));
            membership.handle(new MembershipInput.Tick());
        });
        context.loop().postPeriodically(CONFIGURATION_TICK_MS, this::tickConfiguration);
        context.loop()
                .postPeriodically(
                        LEASE_TICK_MS,
                        () -> scopes.forEach(
                                s -> s.lease().tick(membership.isAmongFirst("lease/" + s.name(), LEASE_CANDIDATES))));
    }

    /** Returns the drivers of all leases, so that a shutdown can release them. */
    List<LeaseDriver> leases() {
        return scopes.stream().map(ScopeLease::lease).toList();
    }

    // Watchers query members that have not reported the newest versions, so that operators see when all have them.
    private void awaitMembers() {
        if (isWatcher()) {
            BundleCore core = configuration.core();
            membership.handle(new MembershipInput.AwaitVersion(Item.BUNDLE, core.bundleVersion()));
            membership.handle(new MembershipInput.AwaitVersion(Item.WITHDRAWALS, core.withdrawalsVersion()));
        }
    }

    private boolean isWatcher() {
        return membership.isAmongFirstOfRegion(
                watchScope, WATCHERS_PER_REGION, context.settings().region());
    }

    private void tickConfiguration() {
        boolean watcher = isWatcher();
        configuration.handle(new BundleInput.Watcher(watcher));
        configuration.handle(new BundleInput.Tick());
        if (watcher && watch.isEmpty()) {
            watch = Optional.of(openWatch());
        } else if (!watcher && watch.isPresent()) {
            watch.get().close();
            watch = Optional.empty();
        }
    }

    // The watch only signals a change; the core reads the content itself, so a late or repeated event is harmless.
    private ObjectWatch openWatch() {
        ObjectStore store = context.budget().at(Priority.STATUS);
        return new ObjectWatch(
                store,
                "withdrawals",
                WATCH_WAIT_MS,
                new ObjectWatch.Listener() {
                    @Override
                    public void listed(ObjectStore.Listing all) {
                        changed(all);
                    }

                    @Override
                    public void changed(ObjectStore.Listing changes) {
                        if (!changes.entries().isEmpty()) {
                            context.loop().post(() -> configuration.handle(new BundleInput.Changed()));
                        }
                    }

                    @Override
                    public void failed(PlatformException cause) {
                        context.metrics()
                                .counter("configuration.watch_failures")
                                .inc();
                    }
                },
                context.random());
    }

    private static Member self(NodeContext context) {
        NodeSettings settings = context.settings();
        NodeLocation location = new NodeLocation(
                SocketAddresses.format(settings.listen().peers()),
                SocketAddresses.format(settings.listen().callers()),
                settings.dataCentre(),
                settings.region());
        MemberState state = new MemberState(context.incarnation(), 0, MemberState.Liveness.ALIVE, false);
        return new Member(settings.nodeId(), state, location, 0);
    }

    private static List<PublicKey> operatorKeys(NodeSettings settings) {
        List<PublicKey> keys = new ArrayList<>();
        for (String text : settings.operatorPublicKeys()) {
            try {
                keys.add(BundleSignature.publicKey(text));
            } catch (InvalidKeyException e) {
                LOG.atSevere().withCause(e).log("ignoring an invalid operator public key in the settings");
            }
        }
        return keys;
    }

    private static byte[] bytes(String secret) {
        return secret.getBytes(StandardCharsets.UTF_8);
    }

    /** Passes configuration and confirmations from peers to the configuration driver. */
    private final class ConfigurationFromPeers implements MembershipDriver.Listener {
        @Override
        public void delivered(Item item) {
            switch (item.name()) {
                case Item.BUNDLE -> configuration.handle(new BundleInput.BundleFromPeer(item.payload()));
                case Item.WITHDRAWALS -> configuration.handle(new BundleInput.WithdrawalsFromPeer(item.payload()));
                default -> {}
            }
        }

        @Override
        public void confirmed(List<Long> versions, long confirmedAtMs) {
            configuration.handle(new BundleInput.PeerConfirmed(versions.get(0), versions.get(1), confirmedAtMs));
        }

        @Override
        public void majority(boolean reached) {
            configuration.handle(new BundleInput.Majority(reached));
        }
    }
}
