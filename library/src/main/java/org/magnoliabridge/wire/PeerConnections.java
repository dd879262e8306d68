package org.magnoliabridge.wire;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.wire.PeerEvents.CloseReason;

/**
 * Sends frames to other nodes over connections opened by either side; opens a connection if there is none.
 *
 * <p>Sending never blocks: a frame that cannot be queued is dropped and counted. A connection on which nothing is
 * received within 2 s of a send is closed, even if its socket is still open; the next send opens a new connection.
 *
 * <pre>{@code
 * PeerConnections peers = closer.register(new PeerConnections(self, incarnation, secrets, events, clock));
 * PeerListener listener = closer.register(new PeerListener(bindAddress, peers));
 * peers.send(node, address, frame);
 * }</pre>
 */
public final class PeerConnections implements AutoCloseable {
    private static final long LIVENESS_CHECK_PERIOD_MS = 100;
    private static final long REDIAL_INTERVAL_MS = 500;

    private final Handshake handshake;
    private final PeerEvents events;
    private final MonotonicClock clock;
    private final WireStats stats = new WireStats();
    private final Set<PeerLink> links = new HashSet<>();
    private final Map<NodeId, PeerLink> byNode = new HashMap<>();
    private final Map<InetSocketAddress, PeerLink> byAddress = new HashMap<>();
    private final Map<InetSocketAddress, Long> dialledAtMs = new HashMap<>();
    private final Thread watchdog;
    private boolean closed;

    public PeerConnections(
            NodeId self, Incarnation incarnation, ClusterSecrets secrets, PeerEvents events, MonotonicClock clock) {
        handshake = new Handshake(self, incarnation, secrets, new SecureRandom());
        this.events = events;
        this.clock = clock;
        watchdog = Thread.ofPlatform().name("peer-watch").daemon(true).start(this::checkLinks);
    }

    /** Returns the counters. */
    public WireStats stats() {
        return stats;
    }

    /**
     * Sends a frame to a node, if it can be queued.
     *
     * @param to the intended node; empty for a seed, whose node id is not known yet
     * @param address where the node listens
     * @return false if the frame was dropped
     */
    public boolean send(Optional<NodeId> to, InetSocketAddress address, Frame frame) {
        return send(to, address, new Outgoing(frame, Optional.empty()));
    }

    /**
     * Sends a frame to one start of a node, if it can be queued. A later process of the node does not get it, because
     * what the frame refers to ended with the process that it is for.
     *
     * @param address where the node listens
     * @return false if the frame was dropped
     */
    public boolean send(ProcessName to, InetSocketAddress address, Frame frame) {
        return send(Optional.of(to.node()), address, new Outgoing(frame, Optional.of(to.incarnation())));
    }

    private synchronized boolean send(Optional<NodeId> to, InetSocketAddress address, Outgoing frame) {
        if (closed) {
            return false;
        }
        PeerLink link = to.map(byNode::get).orElse(null);
        if (link == null || link.isClosed()) {
            link = byAddress.get(address);
        }
        if (link == null || link.isClosed()) {
            Long before = dialledAtMs.get(address);
            if (before != null && clock.nowMs() - before < REDIAL_INTERVAL_MS) {
                stats.dropped.increment();
                return false;
            }
            link = dial(to.orElse(null), address);
        }
        return link.send(frame);
    }

    /** Starts serving an accepted connection; closes it if there are already {@code maxLinks} connections. */
    synchronized void accept(Socket socket, int maxLinks) {
        PeerLink link = new PeerLink(socket, handshake, events, clock, stats);
        if (closed || links.size() >= maxLinks) {
            link.close(CloseReason.LOCAL);
            return;
        }
        links.add(link);
        link.serve(() -> register(link));
    }

    private PeerLink dial(NodeId expected, InetSocketAddress address) {
        PeerLink link = new PeerLink(new Socket(), handshake, events, clock, stats);
        links.add(link);
        byAddress.put(address, link);
        dialledAtMs.put(address, clock.nowMs());
        link.dial(address, expected, () -> register(link));
        return link;
    }

    private synchronized void register(PeerLink link) {
        byNode.put(link.peer(), link);
    }

    private void checkLinks() {
        try {
            while (!Thread.interrupted()) {
                for (PeerLink link : openLinks()) {
                    link.checkLiveness();
                }
                Thread.sleep(LIVENESS_CHECK_PERIOD_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized List<PeerLink> openLinks() {
        links.removeIf(PeerLink::isClosed);
        byNode.values().removeIf(PeerLink::isClosed);
        byAddress.values().removeIf(PeerLink::isClosed);
        dialledAtMs.values().removeIf(at -> clock.nowMs() - at > REDIAL_INTERVAL_MS);
        return List.copyOf(links);
    }

    @Override
    public void close() {
        watchdog.interrupt();
        List<PeerLink> rest;
        synchronized (this) {
            closed = true;
            rest = List.copyOf(links);
        }
        rest.forEach(link -> link.close(CloseReason.LOCAL));
    }
}
