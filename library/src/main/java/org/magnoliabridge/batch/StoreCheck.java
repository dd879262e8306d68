package org.magnoliabridge.batch;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.telemetry.LogFields;

/**
 * Reads from the store which batches are open, and tells the gate which have ended before anything else learns of it;
 * any thread may run it.
 */
public final class StoreCheck {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final StoredBatches stored;
    private final StartGate gate;
    private final MonotonicClock clock;
    private final Receiver receiver;

    /** Receives what a check has found; must not block. */
    public interface Receiver {
        /** Called once for each batch that has ended and was not known to have ended. */
        void ended(BatchId batch);

        /** Called at the end of each check that succeeds. */
        void open(List<BatchHead> heads);
    }

    public StoreCheck(StoredBatches stored, StartGate gate, MonotonicClock clock, Receiver receiver) {
        this.stored = Objects.requireNonNull(stored);
        this.gate = Objects.requireNonNull(gate);
        this.clock = Objects.requireNonNull(clock);
        this.receiver = Objects.requireNonNull(receiver);
    }

    /** Performs one check; blocks until the store has answered, the call has timed out, or an interrupt. */
    public void run() {
        long startMs = clock.nowMs();
        try {
            List<BatchHead> open = new ArrayList<>();
            for (BatchHead head : stored.heads()) {
                if (!head.ended()) {
                    open.add(head);
                } else if (gate.end(head.id())) {
                    LOG.atInfo().with(LogFields.BATCH, head.id().value()).log("end of batch found in the store");
                    receiver.ended(head.id());
                }
            }
            gate.checked(startMs);
            receiver.open(open);
        } catch (PlatformException e) {
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
            if (isConfirmed(e)) {
                gate.checked(clock.nowMs());
            }
            LOG.atWarning().withCause(e).log("cannot read open batches from the store; retrying at the next check");
        }
    }

    // While other nodes reach the store, ends are confirmed there that this node has not read.
    private static boolean isConfirmed(PlatformException failure) {
        return failure instanceof PlatformException.Unavailable unavailable && unavailable.isAtOtherNodes();
    }
}
