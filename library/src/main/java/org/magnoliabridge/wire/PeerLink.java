package org.magnoliabridge.wire;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.wire.Handshake.Session;
import org.magnoliabridge.wire.PeerEvents.CloseReason;

/** One connection to a node, with one thread for writing and one for reading. */
final class PeerLink {
    /** Time limit for connecting and the handshake, in milliseconds. */
    static final long HANDSHAKE_TIMEOUT_MS = 2_000;

    /** A heartbeat is sent if nothing was received for this long after a send, in milliseconds. */
    static final long HEARTBEAT_DELAY_MS = 500;

    /** A connection is closed if nothing was received for this long after a send, in milliseconds. */
    static final long SILENCE_TIMEOUT_MS = 2_000;

    private static final int MAX_QUEUED_FRAMES = 256;
    private static final int MAX_QUEUED_BYTES = 4 << 20;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int READ_BUFFER_BYTES = 2 << 10;
    private static final long PROBE = 1;
    private static final long ECHO = 2;
    private static final byte[] NO_BODY = {};

    private final Handshake handshake;
    private final PeerEvents events;
    private final MonotonicClock clock;
    private final WireStats stats;
    private final Socket socket;
    private final AtomicReference<CloseReason> closed = new AtomicReference<>();
    private final Queue<Outgoing> queue = new ArrayDeque<>();
    private final long openedAtMs;
    private int queuedBytes;
    private boolean probed;
    // Send time of the first frame after the last receipt; 0 if nothing was sent since.
    private long unansweredSinceMs;
    private volatile Session session;
    private volatile boolean usable;

    PeerLink(Socket socket, Handshake handshake, PeerEvents events, MonotonicClock clock, WireStats stats) {
        this.socket = socket;
        this.handshake = handshake;
        this.events = events;
        this.clock = clock;
        this.stats = stats;
        openedAtMs = clock.nowMs();
    }

    /** Opens the connection on its own threads; runs the callback once the link can be used for sending. */
    void dial(InetSocketAddress address, NodeId expected, Runnable ready) {
        Thread.ofVirtual().name("peer-dial").start(() -> {
            try {
                socket.connect(address, CONNECT_TIMEOUT_MS);
            } catch (IOException e) {
                close(CloseReason.UNREACHABLE);
                return;
            }
            run(expected, true, ready);
        });
    }

    /** Serves an accepted connection on its own threads; runs the callback once the peer is authenticated. */
    void serve(Runnable ready) {
        Thread.ofVirtual().name("peer-accept").start(() -> run(null, false, ready));
    }

    /** Queues a frame; returns false if it is too large, the link is closed or its queue is full. */
    boolean send(Outgoing frame) {
        if (frame.bodyBytes() > FrameCodec.MAX_BODY_BYTES) {
            stats.dropped.increment();
            return false;
        }
        synchronized (queue) {
            boolean full = queue.size() >= MAX_QUEUED_FRAMES || queuedBytes + frame.bodyBytes() > MAX_QUEUED_BYTES;
            if (closed.get() != null || full) {
                stats.dropped.increment();
                return false;
            }
            queue.add(frame);
            queuedBytes += frame.bodyBytes();
            queue.notifyAll();
            return true;
        }
    }

    boolean isClosed() {
        return closed.get() != null;
    }

    /** Returns the peer; null before the handshake. */
    NodeId peer() {
        return session == null ? null : session.peer().node();
    }

    /** Sends a heartbeat if the peer does not answer; closes the connection after a time limit. */
    void checkLiveness() {
        long nowMs = clock.nowMs();
        // A replayed Hello passes the handshake but cannot produce a session frame, so the limit covers both.
        if (!usable) {
            if (nowMs - openedAtMs > HANDSHAKE_TIMEOUT_MS) {
                close(CloseReason.NO_HANDSHAKE);
            }
            return;
        }
        boolean probe = false;
        boolean silent = false;
        synchronized (queue) {
            if (unansweredSinceMs != 0) {
                silent = nowMs - unansweredSinceMs > SILENCE_TIMEOUT_MS;
                probe = !probed && nowMs - unansweredSinceMs > HEARTBEAT_DELAY_MS;
                probed |= probe;
            }
        }
        if (silent) {
            close(CloseReason.SILENT);
        } else if (probe) {
            sendHeartbeat(PROBE);
        }
    }

    private void sendHeartbeat(long kind) {
        send(new Outgoing(new Frame(FrameType.HELLO, handshake.self(), kind, NO_BODY), Optional.empty()));
    }

    void close(CloseReason reason) {
        if (!closed.compareAndSet(null, reason)) {
            return;
        }
        synchronized (queue) {
            queue.clear();
            queue.notifyAll();
        }
        try {
            socket.close();
        } catch (IOException e) {
            stats.closeFailures.increment();
        }
        stats.closed(reason);
        events.closed(reason);
    }

    private void run(NodeId expected, boolean caller, Runnable ready) {
        try {
            socket.setTcpNoDelay(true);
            DataInputStream in =
                    new DataInputStream(new BufferedInputStream(socket.getInputStream(), READ_BUFFER_BYTES));
            OutputStream out = socket.getOutputStream();
            Session agreed = caller ? handshake.call(in, out) : handshake.accept(in, out);
            if (expected != null && !expected.equals(agreed.peer().node())) {
                close(CloseReason.WRONG_NODE);
                return;
            }
            session = agreed;
            Thread.ofVirtual().name("peer-write").start(() -> write(out, agreed));
            if (caller) {
                usable = true;
                ready.run();
            }
            read(in, agreed, caller ? () -> {} : ready);
        } catch (FrameException e) {
            stats.rejected(e.reason());
            boolean ended = e.reason() == FrameException.Reason.TRUNCATED;
            close(ended ? CloseReason.BROKEN : CloseReason.INVALID_FRAME);
        } catch (IOException e) {
            close(CloseReason.BROKEN);
        }
    }

    // An accepted link is used for sending only after the first session frame: until then, the peer's Hello may be a
    // replay.
    private void read(DataInputStream in, Session agreed, Runnable authenticated) throws IOException {
        for (long sequence = 1; closed.get() == null; sequence++) {
            byte[] bytes = FrameCodec.read(in, FrameCodec.MAX_BYTES);
            Frame frame = FrameCodec.decode(bytes, sequence, agreed.readKey());
            if (!frame.sender().equals(agreed.peer().node())) {
                throw new FrameException(FrameException.Reason.WRONG_SENDER);
            }
            stats.bytesReceived.add(Integer.BYTES + bytes.length);
            synchronized (queue) {
                unansweredSinceMs = 0;
                probed = false;
            }
            if (sequence == 1) {
                usable = true;
                authenticated.run();
            }
            if (frame.type() != FrameType.HELLO) {
                events.received(agreed.peer(), frame);
            } else if (frame.requestId() == PROBE) {
                sendHeartbeat(ECHO);
            }
        }
    }

    private void write(OutputStream out, Session agreed) {
        try {
            for (long sequence = 1; ; sequence++) {
                Frame frame = next(agreed.peer().incarnation());
                if (frame == null) {
                    return;
                }
                byte[] bytes = FrameCodec.encode(frame, sequence, agreed.writeKey());
                out.write(bytes);
                stats.bytesSent.add(bytes.length);
            }
        } catch (IOException e) {
            close(CloseReason.BROKEN);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            close(CloseReason.LOCAL);
        }
    }

    /** Waits for the next frame that the peer may get; returns null once the link is closed. */
    private Frame next(Incarnation peer) throws InterruptedException {
        synchronized (queue) {
            Outgoing outgoing = null;
            while (outgoing == null) {
                if (closed.get() != null) {
                    return null;
                }
                outgoing = queue.poll();
                if (outgoing == null) {
                    queue.wait();
                } else {
                    queuedBytes -= outgoing.bodyBytes();
                    if (!outgoing.isFor(peer)) {
                        stats.misaddressed.increment();
                        outgoing = null;
                    }
                }
            }
            Frame frame = outgoing.frame();
            boolean echo = frame.type() == FrameType.HELLO && frame.requestId() == ECHO;
            if (unansweredSinceMs == 0 && !echo) {
                unansweredSinceMs = Math.max(1, clock.nowMs());
            }
            return frame;
        }
    }
}
