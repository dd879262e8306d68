package org.magnoliabridge.wire;

import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;

/** Learns what happens on connections; called on traffic threads, so it posts to the control loop and returns. */
public interface PeerEvents {
    /** An authenticated frame came from a node. */
    void received(NodeId peer, Incarnation incarnation, Frame frame);

    /** A connection ended; for logs and metrics. */
    void closed(CloseReason reason);

    /** Why a connection ended. */
    enum CloseReason {
        /** No connection could be opened. */
        UNREACHABLE,
        /** The stream broke or was closed at the other side. */
        BROKEN,
        /** Bytes arrived that are not the next valid frame; also a wrong secret. */
        INVALID_FRAME,
        /** Nothing came back although frames and heartbeats were sent. */
        SILENT,
        /** The handshake took too long. */
        NO_HANDSHAKE,
        /** The other side is not the node that was meant. */
        WRONG_NODE,
        /** This side was closed. */
        LOCAL
    }
}
