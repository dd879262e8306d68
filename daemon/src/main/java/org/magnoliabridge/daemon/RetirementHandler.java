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

/** Completes each request to empty an instance with a disk at once, because nothing is kept on the disks. */
final class RetirementHandler implements ObjectWatch.Listener {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long RETRY_MS = 500;
    // After a minute another holder, which reads all requests anew, answers instead.
    private static final int MAX_ATTEMPTS = 120;

    private final GatewayPlatform platform;
    private final LeaseDriver lease;
    private final ControlLoop loop;
    private final MonotonicClock clock;
    // Used on the control thread only.
    private final Set<ObjectKey> handled = new HashSet<>();

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
                .forEach(e -> loop.post(() -> tryComplete(e.key(), MAX_ATTEMPTS)));
    }

    @Override
    public void failed(PlatformException cause) {
        LOG.atInfo().withCause(cause).log("requests to empty instances cannot be followed");
    }

    private void tryComplete(ObjectKey request, int tries) {
        if (tries == 0 || handled.contains(request)) {
            return;
        }
        if (!lease.view().maySend(clock.nowMs())) {
            loop.later(RETRY_MS, () -> tryComplete(request, tries - 1));
            return;
        }
        handled.add(request);
        Thread.ofVirtual().name("retirement").start(() -> complete(request, tries));
    }

    private void complete(ObjectKey request, int tries) {
        try {
            platform.completeRetirement(request);
            LOG.atInfo().log("instance is empty: %s", request);
        } catch (PlatformException e) {
            LOG.atWarning().withCause(e).log("request %s is not answered yet", request);
            loop.post(() -> handled.remove(request));
            loop.later(RETRY_MS, () -> tryComplete(request, tries - 1));
        }
    }
}
