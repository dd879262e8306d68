package org.magnoliabridge.daemon;

import org.magnoliabridge.ids.NodeId;

/** Thrown when a node gives no answer to a call in time; the call may have been carried out. */
final class PeerSilentException extends Exception {
    PeerSilentException(NodeId node, String method) {
        super("node " + node + " did not answer call " + method);
    }
}
