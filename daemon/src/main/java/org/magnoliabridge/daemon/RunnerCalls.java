package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.telemetry.LogFields;

/** Calls the node that runs the batches, which may be this one; calls block. */
final class RunnerCalls {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long TELL_TIMEOUT_MS = 500;
    // How long a node tries to tell the runner about a batch or its end.
    private static final long TELL_RUNNER_MS = 4_000;
    private static final long NO_RUNNER_DELAY_MS = 20;
    // A runner that does not accept may not do so for seconds, and each call takes time of its control thread.
    private static final long NOT_ACCEPTED_DELAY_MS = 100;
    // The control thread ends a call at its time limit, unless it is later than this.
    private static final long LATE_TIMER_MS = 50;
    private static final byte ACCEPTED = 1;

    private final GatewayContext context;
    private final PeerCalls peers;
    private final BatchRole role;

    RunnerCalls(GatewayContext context, PeerCalls peers, BatchRole role) {
        this.context = context;
        this.peers = peers;
        this.role = role;
    }

    /** Returns the answer of a runner that accepts what it was told, or cannot accept it now. */
    static byte[] acknowledgement(boolean accepted) {
        return new byte[] {accepted ? ACCEPTED : 0};
    }

    /** Returns the runner, as far as is known. */
    Optional<NodeId> runner() {
        return role.runner();
    }

    boolean isSelf(NodeId node) {
        return node.equals(context.settings().nodeId());
    }

    /**
     * Calls the node that is the runner at the time until a runner accepts, or until the time for it is over.
     *
     * @param own called on the control thread if this node is the runner; returns whether it accepts
     */
    boolean tell(PeerCalls.Method method, byte[] body, Callable<Boolean> own) {
        long endMs = context.clock().nowMs() + TELL_RUNNER_MS;
        try {
            while (context.clock().nowMs() < endMs) {
                Optional<NodeId> runner = runner();
                if (runner.isPresent() && tell(runner.get(), method, body, own)) {
                    return true;
                }
                Thread.sleep(runner.isPresent() ? NOT_ACCEPTED_DELAY_MS : NO_RUNNER_DELAY_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            LOG.atSevere().withCause(e).log("own runner failed to handle %s", method);
        }
        return false;
    }

    /** Tells all other live nodes, any of which may become the runner; messages may be lost. */
    void tellOthers(PeerCalls.Method method, byte[] body) {
        context.loop().post(() -> role.tellOthers(method, body));
    }

    private boolean tell(NodeId runner, PeerCalls.Method method, byte[] body, Callable<Boolean> own)
            throws InterruptedException, ExecutionException {
        if (isSelf(runner)) {
            return context.loop().submit(own).get();
        }
        return call(runner, method, body, TELL_TIMEOUT_MS)
                .filter(answer -> answer.length > 0 && answer[0] == ACCEPTED)
                .isPresent();
    }

    /** Calls a node; empty without an answer in time, even if the control thread is late. */
    Optional<byte[]> call(NodeId to, PeerCalls.Method method, byte[] body, long timeoutMs) throws InterruptedException {
        try {
            return Optional.of(
                    peers.call(to, method, body, timeoutMs).get(timeoutMs + LATE_TIMER_MS, TimeUnit.MILLISECONDS));
        } catch (TimeoutException e) {
            LOG.atInfo()
                    .with(LogFields.PEER, to.value())
                    .log("peer call %s has no answer after %d ms; the control thread is late", method, timeoutMs);
            return Optional.empty();
        } catch (ExecutionException e) {
            LOG.atInfo()
                    .withCause(e.getCause())
                    .with(LogFields.PEER, to.value())
                    .log("peer call %s failed", method);
            return Optional.empty();
        }
    }
}
