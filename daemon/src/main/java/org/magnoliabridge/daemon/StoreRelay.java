package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreMessages;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoreRouteSelector;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.membership.MemberState.Liveness;
import org.magnoliabridge.telemetry.LogFields;

/** Relays store calls of this node through other nodes, and makes store calls for other nodes. */
final class StoreRelay implements RelayedStore.Relay {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // Time limit of a call to another node, in addition to the wait time of a watch.
    private static final long PEER_CALL_TIMEOUT_MS = 450;
    // Sooner than the other node's time limit: a late answer tells that the store is late here too, and silence does
    // not.
    private static final long SERVE_LIMIT_MS = 350;
    private static final StoreMessages.Result UNAVAILABLE =
            new StoreMessages.Result.Replied(new StoreReply.Unavailable());

    private final NodeId self;
    private final MembershipDriver membership;
    private final PeerCalls peers;
    private final RelayPeers choice;

    /**
     * Creates a relay and starts to make store calls for other nodes.
     *
     * @param direct the store without relaying, so that a call of another node is never relayed to a third node
     * @param path tells whether the store serves this node; if not, calls of other nodes are answered as unavailable
     */
    StoreRelay(NodeId self, MembershipDriver membership, PeerCalls peers, ObjectStore direct, StoreRouteSelector path) {
        this.self = self;
        this.membership = membership;
        this.peers = peers;
        this.choice = new RelayPeers(self, () -> ThreadLocalRandom.current().nextLong());
        peers.serve(PeerCalls.Method.STORE_CALL, (from, body, answer) -> {
            if (path.isStoreUnavailable()) {
                answer.accept(StoreMessages.pack(UNAVAILABLE));
            } else {
                serve(direct, from, body, answer);
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

    private static boolean mayChangeStore(StoreMessages.Call call) {
        return call instanceof StoreMessages.Call.Request request
                && (request.request() instanceof StoreRequest.Write
                        || request.request() instanceof StoreRequest.Delete);
    }

    // Without other nodes, callers reach the store through this node only.
    private boolean isAlone() {
        return membership.members().stream()
                .allMatch(m -> m.id().equals(self) || m.state().liveness() == Liveness.DEAD);
    }

    /** Makes a call for another node. Answers that the store is unavailable if it does not answer a read in time. */
    static void serve(ObjectStore direct, NodeId from, byte[] body, Consumer<byte[]> answer) {
        StoreMessages.Call call;
        try {
            call = StoreMessages.call(body);
        } catch (PlatformException.Malformed e) {
            LOG.atWarning().withCause(e).with(LogFields.PEER, from.value()).log("malformed store call");
            return;
        }
        CompletableFuture<StoreMessages.Result> made = new CompletableFuture<>();
        Thread.ofVirtual().name("store-relay").start(() -> made.complete(RelayedStore.perform(direct, call)));
        long waitMs = call instanceof StoreMessages.Call.Watch watch ? watch.waitMs() : 0;
        CompletableFuture<StoreMessages.Result> result = mayChangeStore(call)
                ? made
                : made.completeOnTimeout(UNAVAILABLE, waitMs + SERVE_LIMIT_MS, TimeUnit.MILLISECONDS);
        CompletableFuture<Void> unused = result.thenAccept(r -> answer.accept(StoreMessages.pack(r)));
    }
}
