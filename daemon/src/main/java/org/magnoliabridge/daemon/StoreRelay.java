package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreMessages;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoreRouteSelector;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.membership.MemberState.Liveness;
import org.magnoliabridge.telemetry.LogFields;

/** Relays store calls of this node through other nodes, and lets {@link PeerStoreCalls} make theirs. */
final class StoreRelay implements RelayedStore.Relay {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // Time limit of a call to another node, in addition to the wait time of a watch.
    private static final long PEER_CALL_TIMEOUT_MS = 450;

    private final NodeId self;
    private final MembershipDriver membership;
    private final PeerCalls peers;
    private final RelayPeers choice;

    /**
     * Creates a relay and starts to make store calls for other nodes.
     *
     * @param served makes the calls of other nodes
     * @param path tells whether the store serves this node; if not, calls of other nodes are answered as unavailable
     */
    StoreRelay(
            NodeId self, MembershipDriver membership, PeerCalls peers, PeerStoreCalls served, StoreRouteSelector path) {
        this.self = self;
        this.membership = membership;
        this.peers = peers;
        this.choice = new RelayPeers(self, () -> ThreadLocalRandom.current().nextLong());
        peers.serve(PeerCalls.Method.STORE_CALL, (from, body, answer) -> {
            if (path.isStoreUnavailable()) {
                PeerStoreCalls.refuse(answer);
            } else {
                served.serve(from, body, answer);
            }
        });
    }

    @Override
    public StoreMessages.Result call(StoreMessages.Call call, long waitMs) throws PlatformException {
        byte[] body = StoreMessages.pack(call);
        List<NodeId> candidates = choice.choose(membership.members());
        boolean allReplied = true;
        for (NodeId node : candidates) {
            try {
                byte[] answer = peers.call(node, PeerCalls.Method.STORE_CALL, body, waitMs + PEER_CALL_TIMEOUT_MS)
                        .get();
                StoreMessages.Result result = StoreMessages.result(answer);
                Optional<StoreReply> reply = result instanceof StoreMessages.Result.Replied replied
                        ? Optional.of(replied.reply())
                        : Optional.empty();
                boolean unavailable =
                        reply.filter(StoreReply.Unavailable.class::isInstance).isPresent();
                if (unavailable
                        || reply.filter(StoreReply.Unknown.class::isInstance).isPresent()) {
                    choice.failed(node);
                } else {
                    choice.carried(node);
                }
                if (!unavailable) {
                    return result;
                }
            } catch (ExecutionException e) {
                choice.failed(node);
                allReplied = false;
                LOG.atInfo()
                        .withCause(e.getCause())
                        .with(LogFields.PEER, node.value())
                        .log("no reply to a relayed store call");
                if (mayChangeStore(call)) {
                    throw new PlatformException.OutcomeUnknown("the node that made the call did not reply", e);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new PlatformException.OutcomeUnknown("interrupted while another node makes the call", e);
            }
        }
        choice.noneCarried(membership.members());
        if (allReplied && (!candidates.isEmpty() || isAlone())) {
            throw PlatformException.Unavailable.atOtherNodes("no other node reaches the store");
        }
        throw new PlatformException.Unavailable("no other node replies to the call", null);
    }

    static boolean mayChangeStore(StoreMessages.Call call) {
        return call instanceof StoreMessages.Call.Request request
                && (request.request() instanceof StoreRequest.Write
                        || request.request() instanceof StoreRequest.Delete);
    }

    // Without other nodes, callers reach the store through this node only.
    private boolean isAlone() {
        return membership.members().stream()
                .allMatch(m -> m.id().equals(self) || m.state().liveness() == Liveness.DEAD);
    }
}
