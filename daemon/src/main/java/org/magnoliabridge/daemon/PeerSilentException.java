package org.magnoliabridge.daemon;

import org.magnoliabridge.ids.NodeId;

/** Thrown when a node does not answer a call within the time limit; the call may have been executed. */
final class PeerSilentException extends Exception {
    PeerSilentException(NodeId node, String method) {
        super("node " + node + " did not answer call " + method);
    }
}
