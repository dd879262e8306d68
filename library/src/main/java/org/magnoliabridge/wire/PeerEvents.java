package org.magnoliabridge.wire;

import org.magnoliabridge.ids.ProcessName;

/** Receives connection events; called on traffic threads, so implementations post to the control loop and return. */
public interface PeerEvents {
    /** Called when an authenticated frame was received from a process. */
    void received(ProcessName peer, Frame frame);

    /** Called when a connection was closed; for logs and metrics. */
    void closed(CloseReason reason);

    /** Why a connection was closed. */
    enum CloseReason {
        /** No connection could be opened. */
        UNREACHABLE,
        /** The stream failed or was closed by the peer. */
        BROKEN,
        /** The received bytes are not the next valid frame; also if the peer uses a wrong secret. */
        INVALID_FRAME,
        /** Nothing was received although frames and heartbeats were sent. */
        SILENT,
        /** The handshake did not complete in time. */
        NO_HANDSHAKE,
        /** The peer is not the intended node. */
        WRONG_NODE,
        /** This side closed the connection. */
        LOCAL
    }
}
