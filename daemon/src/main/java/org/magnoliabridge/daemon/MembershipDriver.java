package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.membership.Item;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MembershipCore;
import org.magnoliabridge.membership.MembershipEffect;
import org.magnoliabridge.membership.MembershipInput;
import org.magnoliabridge.membership.Rendezvous;
import org.magnoliabridge.settings.SocketAddresses;
import org.magnoliabridge.telemetry.LogFields;
import org.magnoliabridge.wire.Frame;
import org.magnoliabridge.wire.FrameType;
import org.magnoliabridge.wire.PeerConnections;
import org.magnoliabridge.wire.PeerEvents;

/** Runs the membership core and dispatches frames of peers; control thread only, unless stated otherwise. */
final class MembershipDriver implements PeerEvents, ConfigurationDriver.Spreader {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final int MAX_RANKINGS = 256;

    private final NodeId self;
    private final MembershipCore core;
    private final ControlLoop loop;
    private final MonotonicClock clock;
    private final MetricRegistry metrics;
    private final Map<FrameType, FrameHandler> handlers = new EnumMap<>(FrameType.class);
    private final List<Listener> listeners = new ArrayList<>();
    private final List<Consumer<List<Member>>> memberListeners = new CopyOnWriteArrayList<>();
    // Caches rankings by scope: ranking hashes every member, and several ticks a second need the same few scopes.
    private final Map<String, List<NodeId>> rankings = new HashMap<>();
    private PeerConnections peers;
    private volatile List<Member> members = List.of();

    /** Handles frames of a type that the membership core does not handle. */
    interface FrameHandler {
        void received(ProcessName from, Frame frame);
    }

    /** Receives what the membership core learns from peers. */
    interface Listener {
        void delivered(Item item);

        /** Receives the configuration versions that a peer confirmed, and the time up to which they are confirmed. */
        default void confirmed(List<Long> versions, long confirmedAtMs) {}

        /** Receives whether this node reaches a majority of the members. */
        default void majority(boolean reached) {}
    }

    MembershipDriver(NodeId self, MembershipCore core, ControlLoop loop, MonotonicClock clock, MetricRegistry metrics) {
        this.self = self;
        this.core = core;
        this.loop = loop;
        this.clock = clock;
        this.metrics = metrics;
        this.members = core.members();
    }

    /** Sets the connections; separate from the constructor because they report their events to this driver. */
    void connect(PeerConnections connections) {
        peers = connections;
    }

    void addListener(Listener listener) {
        listeners.add(listener);
    }

    void addMemberListener(Consumer<List<Member>> listener) {
        memberListeners.add(listener);
    }

    void onFrame(FrameType type, FrameHandler handler) {
        handlers.put(type, handler);
    }

    /** Returns the members, this node included; any thread may call. */
    List<Member> members() {
        return members;
    }

    /** Returns the core for status pages. */
    MembershipCore core() {
        return core;
    }

    /** Returns the live members that accept work, the preferred one for a scope first; control thread only. */
    List<NodeId> ranked(String scope) {
        if (rankings.size() >= MAX_RANKINGS) {
            rankings.clear();
        }
        return rankings.computeIfAbsent(scope, this::rank);
    }

    private List<NodeId> rank(String scope) {
        List<NodeId> alive =
                members.stream().filter(Member::acceptsWork).map(Member::id).toList();
        return Rendezvous.rank(scope, alive);
    }

    /** Returns whether this node is among the first live members for a scope. */
    boolean isAmongFirst(String scope, int count) {
        return ranked(scope).stream().limit(count).anyMatch(self::equals);
    }

    /** Returns whether this node is among the first live members of its region for a scope. */
    boolean isAmongFirstOfRegion(String scope, int count, Region region) {
        Set<NodeId> local = members.stream()
                .filter(m -> m.location().region().equals(region))
                .map(Member::id)
                .collect(Collectors.toSet());
        return ranked(scope).stream().filter(local::contains).limit(count).anyMatch(self::equals);
    }

    /** Sends a frame to a member; does nothing if the member is unknown. */
    void send(NodeId to, FrameType type, byte[] body) {
        send(to, type, 0, body);
    }

    /** Sends a frame of a call; the request id matches the answer to the call. */
    void send(NodeId to, FrameType type, long requestId, byte[] body) {
        addressOf(to).ifPresent(address -> send(Optional.of(to), address, new Frame(type, self, requestId, body)));
    }

    /**
     * Answers a frame of a process; does nothing if its node is unknown. A later process of the node does not get the
     * answer, because it did not ask.
     */
    void answer(ProcessName to, FrameType type, long requestId, byte[] body) {
        addressOf(to.node()).ifPresent(address -> answer(to, address, new Frame(type, self, requestId, body)));
    }

    private Optional<String> addressOf(NodeId node) {
        return members.stream()
                .filter(m -> m.id().equals(node))
                .findFirst()
                .map(m -> m.location().peerAddress());
    }

    /** Passes an input to the core and performs the resulting effects. */
    void handle(MembershipInput input) {
        for (MembershipEffect effect : core.handle(input, clock.nowMs())) {
            carryOut(effect);
        }
    }

    @Override
    public void spreadBundle(long version, byte[] payload) {
        handle(new MembershipInput.ItemAccepted(new Item(Item.BUNDLE, version, payload)));
    }

    @Override
    public void spreadWithdrawals(long version, byte[] payload) {
        handle(new MembershipInput.ItemAccepted(new Item(Item.WITHDRAWALS, version, payload)));
    }

    /** Receives a frame on a network thread and passes it to the control thread. */
    @Override
    public void received(ProcessName peer, Frame frame) {
        loop.post(() -> {
            FrameHandler handler = handlers.get(frame.type());
            if (handler != null) {
                handler.received(peer, frame);
            } else {
                handle(new MembershipInput.Received(peer, frame.type(), frame.requestId(), frame.body()));
            }
        });
    }

    /** Counts a closed connection; called on a network thread. */
    @Override
    public void closed(CloseReason reason) {
        metrics.counter("peers.closed." + reason).inc();
        if (reason == CloseReason.INVALID_FRAME || reason == CloseReason.WRONG_NODE) {
            LOG.atWarning().with(LogFields.FAILURE, reason.name()).log("peer connection closed");
        }
    }

    private void carryOut(MembershipEffect effect) {
        switch (effect) {
            case MembershipEffect.Send send -> send(send);
            case MembershipEffect.Deliver deliver -> listeners.forEach(l -> l.delivered(deliver.item()));
            case MembershipEffect.Confirmed confirmed ->
                listeners.forEach(l -> l.confirmed(confirmed.versions(), confirmed.confirmedAtMs()));
            case MembershipEffect.Majority majority -> listeners.forEach(l -> l.majority(majority.reached()));
            case MembershipEffect.Changed changed -> membersChanged(changed.members());
            case MembershipEffect.Malformed malformed -> {
                metrics.counter("peers.malformed." + malformed.type()).inc();
                LOG.atWarning()
                        .with(LogFields.PEER, malformed.from().value())
                        .log("malformed message of type %s", malformed.type());
            }
        }
    }

    private void membersChanged(List<Member> next) {
        long alive = next.stream().filter(Member::isAlive).count();
        LOG.atInfo().with(LogFields.COUNT, alive).log("live members changed, %d known", next.size());
        members = List.copyOf(next);
        rankings.clear();
        memberListeners.forEach(listener -> listener.accept(members));
    }

    private void send(MembershipEffect.Send send) {
        Frame frame = new Frame(send.type(), self, send.requestId(), send.body());
        if (send.to().isPresent() && send.run().isPresent()) {
            answer(new ProcessName(send.to().get(), send.run().get()), send.address(), frame);
        } else {
            send(send.to(), send.address(), frame);
        }
    }

    private void answer(ProcessName to, String address, Frame frame) {
        SocketAddresses.parse(address).ifPresent(target -> peers.send(to, target, frame));
    }

    private void send(Optional<NodeId> to, String address, Frame frame) {
        SocketAddresses.parse(address).ifPresent(target -> peers.send(to, target, frame));
    }
}
