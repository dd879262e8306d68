package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.magnoliabridge.batch.BatchEvent;
import org.magnoliabridge.telemetry.LogFields;

/** Logs batch events and updates their metrics. */
final class BatchLog {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final MetricRegistry metrics;

    BatchLog(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    void write(BatchEvent event) {
        switch (event) {
            case BatchEvent.Opened e ->
                LOG.atInfo()
                        .with(LogFields.BATCH, e.batch().value())
                        .with(LogFields.COUNT, (long) e.items())
                        .log(
                                "batch opened, %d items with text from an earlier batch, newly accepted %b",
                                e.itemsWithText(), e.newlyAccepted());
            case BatchEvent.Closed e ->
                LOG.atInfo()
                        .with(LogFields.BATCH, e.batch().value())
                        .with(LogFields.COUNT, (long) e.items())
                        .log("batch closed with %d results committed: %s", e.committed(), e.reason());
            case BatchEvent.Placed e ->
                LOG.atInfo()
                        .with(LogFields.BATCH, e.batch().value())
                        .with(LogFields.ITEM, e.item().value())
                        .with(LogFields.ENDPOINT, e.endpoint().value())
                        .log(
                                "item placed after event %d, expected tokens %d, waiting %d",
                                e.lastEvent(), e.expectedTokens(), e.waiting());
            case BatchEvent.RunEnded e -> {
                metrics.timer("batch.run_time").update(e.tookMs(), TimeUnit.MILLISECONDS);
                LOG.atInfo()
                        .with(LogFields.BATCH, e.batch().value())
                        .with(LogFields.ITEM, e.item().value())
                        .with(LogFields.ENDPOINT, e.endpoint().value())
                        .log("run ended after %d ms at event %d: %s", e.tookMs(), e.lastEvent(), e.outcome());
            }
            case BatchEvent.ScoreRequested e -> writeScoreRequested(e);
            case BatchEvent.ScoreEnded e -> writeScoreEnded(e);
            case BatchEvent.Migrated e -> {
                metrics.counter("batch.moved").inc();
                LOG.atInfo()
                        .with(LogFields.BATCH, e.batch().value())
                        .with(LogFields.ITEM, e.item().value())
                        .with(LogFields.ENDPOINT, e.endpoint().value())
                        .log("run migrated: %s", e.reason());
            }
            case BatchEvent.GivenUp e -> {
                metrics.counter("batch.given_up").inc();
                LOG.atInfo()
                        .with(LogFields.BATCH, e.batch().value())
                        .with(LogFields.ITEM, e.item().value())
                        .log("item given up: %s", e.reason());
            }
            case BatchEvent.TextsTakenOver e -> writeTakenOver(e);
            case BatchEvent.TextClaimLost e ->
                LOG.atWarning()
                        .with(LogFields.BATCH, e.batch().value())
                        .log("another runner has claimed the partial texts; stopping this node's runs");
            case BatchEvent.Committed e ->
                LOG.atInfo()
                        .with(LogFields.BATCH, e.batch().value())
                        .with(LogFields.COUNT, (long) e.items())
                        .log("results committed, %d in total", e.committed());
        }
    }

    private static void writeScoreRequested(BatchEvent.ScoreRequested event) {
        LOG.atInfo()
                .with(LogFields.BATCH, event.batch().value())
                .with(LogFields.ITEM, event.item().value())
                .with(LogFields.REQUEST, event.request().value())
                .with(LogFields.ENDPOINT, event.endpoint().value())
                .with(LogFields.AGE_MS, event.waitedMs())
                .log("score of the item's text requested");
    }

    private void writeScoreEnded(BatchEvent.ScoreEnded event) {
        metrics.timer("batch.score_time").update(event.tookMs(), TimeUnit.MILLISECONDS);
        LOG.atInfo()
                .with(LogFields.BATCH, event.batch().value())
                .with(LogFields.ITEM, event.item().value())
                .with(LogFields.ENDPOINT, event.endpoint().value())
                .log("call for the score ended after %d ms: %s", event.tookMs(), event.outcome());
    }

    private void writeTakenOver(BatchEvent.TextsTakenOver event) {
        metrics.counter("batch.texts_taken").inc(event.items());
        LOG.atInfo()
                .with(LogFields.BATCH, event.batch().value())
                .with(LogFields.COUNT, (long) event.items())
                .log("items resume from stored texts, texts claimed first %b", event.claimed());
    }
}
