package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Set;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.ObjectWatch;
import org.magnoliabridge.external.PlatformException;

/**
 * Confirms each request of the platform to retire an instance with a disk. The confirmation waits only for this node to
 * hold the lease: no data is kept on the disks, so none has to be moved first.
 */
final class RetirementHandler implements ObjectWatch.Listener {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long RETRY_MS = 500;
    // One minute of attempts, RETRY_MS apart; an attempt without the lease counts too. After that this node ignores the
    // request, and the next lease holder, which reads all requests again, completes it.
    private static final int MAX_ATTEMPTS = 120;

    private final GatewayPlatform platform;
    private final LeaseDriver lease;
    private final ControlLoop loop;
    private final MonotonicClock clock;
    // Requests that are being completed or are completed; accessed on the control thread only.
    private final Set<ObjectKey> startedRequests = new HashSet<>();

    RetirementHandler(GatewayPlatform platform, LeaseDriver lease, ControlLoop loop, MonotonicClock clock) {
        this.platform = platform;
        this.lease = lease;
        this.loop = loop;
        this.clock = clock;
    }

    @Override
    public void listed(ObjectStore.Listing all) {
        changed(all);
    }

    @Override
    public void changed(ObjectStore.Listing changes) {
        changes.entries().stream()
                .filter(e -> e.version() > 0)
                .forEach(e -> loop.post(() -> completeIfLeaseHeld(e.key(), MAX_ATTEMPTS)));
    }

    @Override
    public void failed(PlatformException cause) {
        LOG.atInfo().withCause(cause).log("watch of retirement requests failed");
    }

    private void completeIfLeaseHeld(ObjectKey request, int attemptsLeft) {
        if (attemptsLeft == 0 || startedRequests.contains(request)) {
            return;
        }
        if (!lease.view().maySend(clock.nowMs())) {
            loop.postDelayed(RETRY_MS, () -> completeIfLeaseHeld(request, attemptsLeft - 1));
            return;
        }
        startedRequests.add(request);
        Thread.ofVirtual().name("retirement").start(() -> complete(request, attemptsLeft));
    }

    private void complete(ObjectKey request, int attemptsLeft) {
        try {
            platform.completeRetirement(request);
            LOG.atInfo().log("completed retirement request %s", request);
        } catch (PlatformException e) {
            LOG.atWarning().withCause(e).log(
                    "cannot complete retirement request %s; retrying if attempts are left", request);
            loop.post(() -> startedRequests.remove(request));
            loop.postDelayed(RETRY_MS, () -> completeIfLeaseHeld(request, attemptsLeft - 1));
        }
    }
}
