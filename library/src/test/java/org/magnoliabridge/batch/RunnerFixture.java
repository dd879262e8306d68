package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoredObject;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.warmup.WarmUpPacer;

/** A batch core with one route on a virtual clock, and the effects that it has requested so far. */
final class RunnerFixture {
    private final List<BatchEffect> effects = new ArrayList<>();
    private final Map<ItemRunId, Integer> eventCounts = new HashMap<>();
    private final Map<ItemRunId, List<Transcript.Event>> unreportedEvents = new HashMap<>();
    private long nowMs = 1_000;
    private long lastTicket = 1_000;
    private final BatchCore core;

    RunnerFixture() {
        this(WarmUpPacer.unlimited());
    }

    RunnerFixture(WarmUpPacer pacer) {
        core = new BatchCore("n1-1", () -> nowMs, process -> false, pacer);
        handle(new BatchInput.Routes(Batches.CONFIG_VERSION, Map.of(Batches.ROUTE, Batches.TARGET), Batches.SCORERS));
    }

    void handle(BatchInput input) {
        effects.addAll(core.on(nowMs, input));
    }

    void open(BatchHead head, List<BatchItem> items, boolean newlyAccepted) {
        handle(new BatchInput.Open(head, items, newlyAccepted));
    }

    void engines(EngineState... engines) {
        handle(new BatchInput.Engines(List.of(engines)));
    }

    void end(ItemRun run, RunOutcome outcome, Transcript.Event... events) {
        handle(new BatchInput.RunEnded(run.id(), outcome, List.of(events)));
    }

    void end(ScoreCall call, ScoreOutcome outcome) {
        handle(new BatchInput.ScoreEnded(call.id(), outcome));
    }

    /** Returns the calls for scores, in order. */
    List<ScoreCall> scoreCalls() {
        return effects.stream()
                .filter(BatchEffect.StartScoring.class::isInstance)
                .map(e -> ((BatchEffect.StartScoring) e).call())
                .toList();
    }

    /** Returns the calls for scores that were stopped, in order. */
    List<ScoreCallId> stoppedScoreCalls() {
        return effects.stream()
                .filter(BatchEffect.StopScoring.class::isInstance)
                .map(e -> ((BatchEffect.StopScoring) e).call())
                .toList();
    }

    void confirmWrites() {
        nowMs += 300;
        handle(new BatchInput.Tick());
        effects.stream()
                .filter(BatchEffect.Store.class::isInstance)
                .map(BatchEffect.Store.class::cast)
                .toList()
                .forEach(s -> handle(new BatchInput.StoreReplied(s.tag(), new StoreReply.Written(1))));
    }

    /** Answers successive reads of the store: finds each of the segments, and then none. */
    void replyToReads(ResultSegment... segments) {
        for (int i = 0; i <= segments.length; i++) {
            BatchEffect.Store request = lastStore();
            StoreRequest.Read read = (StoreRequest.Read) request.request();
            StoreReply reply = i < segments.length
                    ? new StoreReply.Found(new StoredObject(read.key(), 1, BatchCodec.segment(segments[i])))
                    : new StoreReply.NotFound();
            handle(new BatchInput.StoreReplied(request.tag(), reply));
        }
    }

    /** Returns the appends to logs, in order. */
    List<StoreRequest.Write> appends() {
        return effects.stream()
                .filter(BatchEffect.Store.class::isInstance)
                .map(e -> ((BatchEffect.Store) e).request())
                .filter(StoreRequest.Write.class::isInstance)
                .map(StoreRequest.Write.class::cast)
                .toList();
    }

    private BatchEffect.Store lastStore() {
        return effects.stream()
                .filter(BatchEffect.Store.class::isInstance)
                .map(BatchEffect.Store.class::cast)
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    boolean isAnswered(long ticket) {
        return effects.stream().anyMatch(e -> e instanceof BatchEffect.Answer answer && answer.ticket() == ticket);
    }

    List<ItemResult> read(String batch, int after) {
        return ((ReadAnswer.Results) readAnswer(batch, after)).results();
    }

    ReadAnswer readAnswer(String batch, int after) {
        long ticket = ++lastTicket;
        handle(new BatchInput.Read(ticket, new BatchId(batch), Batches.TEAM, after, 0));
        return answer(ticket);
    }

    boolean hasBatch(String batch) {
        return core.hasBatch(new BatchId(batch));
    }

    ReadAnswer answer(long ticket) {
        return effects.stream()
                .filter(BatchEffect.Answer.class::isInstance)
                .map(BatchEffect.Answer.class::cast)
                .filter(a -> a.ticket() == ticket)
                .findFirst()
                .orElseThrow()
                .answer();
    }

    List<ItemRun> runs() {
        return effects.stream()
                .filter(BatchEffect.StartRun.class::isInstance)
                .map(e -> ((BatchEffect.StartRun) e).run())
                .toList();
    }

    /** Returns what the ends of runs and of calls have shown about endpoints, in order. */
    List<BatchEffect.Observe> observations() {
        return effects.stream()
                .filter(BatchEffect.Observe.class::isInstance)
                .map(BatchEffect.Observe.class::cast)
                .toList();
    }

    /** Returns the batches that were opened, in order. */
    List<BatchId> opened() {
        return effects.stream()
                .filter(e -> e instanceof BatchEffect.Log log && log.event() instanceof BatchEvent.Opened)
                .map(e -> ((BatchEffect.Log) e).event().batch())
                .toList();
    }

    List<String> started() {
        return runs().stream().map(r -> r.item().id().value()).toList();
    }

    /** Returns the runs that were stopped, in order. */
    List<ItemRunId> stopped() {
        return effects.stream()
                .filter(BatchEffect.StopRun.class::isInstance)
                .map(e -> ((BatchEffect.StopRun) e).run())
                .toList();
    }

    /** Returns the latest run of an item. */
    ItemRun run(String item) {
        return runs().stream()
                .filter(r -> r.item().id().value().equals(item))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    /** Advances the clock and sends a tick. */
    void advance(long ms) {
        nowMs += ms;
        handle(new BatchInput.Tick());
    }

    /** Adds events to a run, to be included in the next progress report. */
    void generate(ItemRun run, int events) {
        for (int i = 0; i < events; i++) {
            long number = run.lastEvent() + eventCounts.merge(run.id(), 1, Integer::sum);
            unreportedEvents
                    .computeIfAbsent(run.id(), r -> new ArrayList<>())
                    .add(Batches.event(number, "e" + number, 1));
        }
    }

    /** Advances the clock and reports the events generated since the last report. */
    void reportProgress(long afterMs) {
        nowMs += afterMs;
        handle(new BatchInput.Progress(Map.copyOf(unreportedEvents)));
        unreportedEvents.clear();
    }
}
