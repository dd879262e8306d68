package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.magnoliabridge.batch.BatchInput;
import org.magnoliabridge.batch.ScoreCall;
import org.magnoliabridge.batch.ScoreCallId;
import org.magnoliabridge.batch.ScoreOutcome;
import org.magnoliabridge.batch.Scorers;
import org.magnoliabridge.calls.AttemptEnd;

/** Makes the calls for the scores of texts, each on a virtual thread, and reports their ends on the control thread. */
final class ScoreCalls {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final Scorers scorers;
    private final SendHold hold;
    private final GatewayContext context;
    private final Consumer<BatchInput> core;
    private final Map<ScoreCallId, Thread> threads = new ConcurrentHashMap<>();

    /**
     * Creates an instance without calls.
     *
     * @param core receives the end of each call on the control thread
     */
    ScoreCalls(Scorers scorers, SendHold hold, GatewayContext context, Consumer<BatchInput> core) {
        this.scorers = scorers;
        this.hold = hold;
        this.context = context;
        this.core = core;
    }

    /** Returns the number of calls in flight; any thread may call. */
    int size() {
        return threads.size();
    }

    /** Starts a call; control thread only. */
    void start(ScoreCall call) {
        Thread thread = Thread.ofVirtual().name("score-call").unstarted(() -> run(call));
        threads.put(call.id(), thread);
        thread.start();
    }

    /** Stops a call; control thread only. */
    void stop(ScoreCallId call) {
        Thread thread = threads.get(call);
        if (thread != null) {
            thread.interrupt();
        }
    }

    private void run(ScoreCall call) {
        ScoreOutcome outcome;
        try {
            outcome = hold.maySend(call.batch().id()) ? scorers.score(call) : new ScoreOutcome.Withheld();
        } catch (InterruptedException e) {
            outcome = new ScoreOutcome.Stopped();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("call for the score of item %s failed unexpectedly", call.item());
            outcome = new ScoreOutcome.Broken("unexpected failure", AttemptEnd.STOPPED);
        }
        threads.remove(call.id());
        context.metrics()
                .counter("batch.scores." + outcome.getClass().getSimpleName())
                .inc();
        ScoreOutcome result = outcome;
        context.loop().post(() -> core.accept(new BatchInput.ScoreEnded(call.id(), result)));
    }
}
