package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ItemId;

/**
 * The append-only log of a batch's results in the object store.
 *
 * <p>Segment n is created only by a runner that knows all segments before it, and only if it is absent. Two runners
 * therefore never commit an item twice, and a position never changes. An append whose reply was lost is read back;
 * while the segment is absent, the same bytes are sent again, because the lost append may still arrive.
 */
final class ResultLog {
    private static final long RETRY_MS = 100;
    // Writes whatever version is stored; used only if CREATE_SEGMENT_IF_ABSENT is disabled.
    private static final long ANY_VERSION = -1;

    private final BatchId batch;
    private final String self;
    private final Set<BatchMechanism> mechanisms;
    private final CommittedResults committed = new CommittedResults();
    private final Map<ItemId, ItemResult> pending = new LinkedHashMap<>();
    private final StoredTexts texts = new StoredTexts();
    private final Set<String> writers = new HashSet<>();
    private Optional<String> claimant = Optional.empty();
    private long claimedAtMs = Long.MAX_VALUE;
    private boolean claiming;
    private int nextSegment;
    private boolean loading;
    // Segments are read until one is absent: at the start, after a conflict or a lost reply, and on refresh.
    private boolean reading;
    private boolean inFlight;
    private Optional<ResultSegment> append = Optional.empty();
    private long sentAtMs;
    private long currentAtMs = Long.MIN_VALUE;
    private long notBeforeMs = Long.MIN_VALUE;

    /**
     * Creates a log.
     *
     * @param self identifies this runner, unique over all runners
     * @param loading whether earlier segments are read before anything is appended
     */
    ResultLog(BatchId batch, String self, boolean loading) {
        this(batch, self, loading, EnumSet.allOf(BatchMechanism.class));
    }

    ResultLog(BatchId batch, String self, boolean loading, Set<BatchMechanism> mechanisms) {
        this.mechanisms = mechanisms;
        this.batch = Objects.requireNonNull(batch);
        this.self = Objects.requireNonNull(self);
        this.loading = loading;
        this.reading = loading;
    }

    /** Returns the latest time at which this log was known to contain every result that is committed in the store. */
    long currentAtMs() {
        return currentAtMs;
    }

    /** Looks for segments of other runners in the store, unless a request in flight already does. */
    void refresh() {
        reading |= !inFlight && append.isEmpty();
    }

    /** Returns the committed results in the order of their positions. */
    List<ItemResult> committed() {
        return committed.list();
    }

    /** Returns the total length of the committed texts. */
    long committedChars() {
        return committed.chars();
    }

    boolean isCommitted(ItemId item) {
        return committed.contains(item);
    }

    /** Returns whether the earlier segments are still being read. */
    boolean loading() {
        return loading;
    }

    /** Returns the number of results that are not committed yet. */
    int pending() {
        return pending.size() + append.map(a -> a.results().size()).orElse(0);
    }

    /** Returns the texts in progress that the log holds. */
    StoredTexts texts() {
        return texts;
    }

    /** Claims the texts in progress with the next segment. */
    void claim() {
        claiming = true;
        claimedAtMs = Long.MAX_VALUE;
    }

    /** Returns whether a claim of this runner is not stored yet. */
    boolean isClaiming() {
        return claiming;
    }

    /** Returns the processes that have appended to the log. */
    Set<String> writers() {
        return writers;
    }

    /** Returns when this runner's claim to the texts in progress was stored; the largest value while it is not. */
    long claimedAtMs() {
        return claimedAtMs;
    }

    /** Returns whether another runner made the last known claim since the log was loaded. */
    boolean isClaimedByAnother() {
        return !claiming && claimant.filter(c -> !c.equals(self)).isPresent();
    }

    /** Adds a result to append; only the first result of an item is used. */
    void add(ItemResult result) {
        boolean appending = append.stream()
                .flatMap(a -> a.results().stream())
                .anyMatch(r -> r.item().equals(result.item()));
        if (!appending && !isCommitted(result.item())) {
            pending.putIfAbsent(result.item(), result);
        }
    }

    /**
     * Returns the request to make now, if any.
     *
     * @param flush whether pending results are appended now, without waiting for more
     * @param inProgress supplies the texts in progress to store now; called only if a segment can be built
     */
    Optional<StoreRequest> next(long nowMs, boolean flush, Supplier<List<PartialText>> inProgress) {
        if (inFlight || nowMs < notBeforeMs) {
            return Optional.empty();
        }
        if (reading) {
            markSent(nowMs);
            return Optional.of(new StoreRequest.Read(BatchKeys.results(batch, nextSegment)));
        }
        if (append.isEmpty()) {
            boolean due = claiming || (flush && !pending.isEmpty());
            List<PartialText> unstored = inProgress.get();
            if (due || !unstored.isEmpty()) {
                append = Optional.of(buildSegment(unstored));
            }
        }
        return append.map(segment -> {
            markSent(nowMs);
            long expected =
                    mechanisms.contains(BatchMechanism.CREATE_SEGMENT_IF_ABSENT) ? ObjectStore.ABSENT : ANY_VERSION;
            return new StoreRequest.Write(BatchKeys.results(batch, nextSegment), expected, BatchCodec.segment(segment));
        });
    }

    /** Handles the reply to the last request; returns whether results were committed. */
    boolean reply(long nowMs, StoreReply reply) throws MalformedBatchException {
        inFlight = false;
        return switch (reply) {
            case StoreReply.Written written -> {
                currentAtMs = sentAtMs;
                yield apply(nowMs, append.orElseThrow());
            }
            case StoreReply.Found found ->
                apply(nowMs, BatchCodec.segment(found.object().value()));
            case StoreReply.NotFound absent -> {
                // There are no more segments, or the lost append has not taken effect yet.
                loading = false;
                reading = false;
                currentAtMs = sentAtMs;
                yield false;
            }
            case StoreReply.Conflict conflict -> {
                reading = true;
                yield false;
            }
            case StoreReply.Unknown unknown -> {
                if (append.isPresent() && !reading && !mechanisms.contains(BatchMechanism.READ_BACK)) {
                    yield apply(nowMs, append.get());
                }
                reading = true;
                notBeforeMs = nowMs + RETRY_MS;
                yield false;
            }
            case StoreReply.Unavailable unavailable -> {
                notBeforeMs = nowMs + RETRY_MS;
                yield false;
            }
            case StoreReply.Listed list ->
                throw new IllegalStateException("got a list reply to a read or write request");
        };
    }

    private void markSent(long nowMs) {
        inFlight = true;
        sentAtMs = nowMs;
    }

    private ResultSegment buildSegment(List<PartialText> inProgress) {
        List<ItemResult> results = new ArrayList<>();
        long bytes = 0;
        for (ItemResult result : List.copyOf(pending.values())) {
            bytes += JsonSize.of(result);
            if (!results.isEmpty() && bytes > JsonSize.MAX_BYTES) {
                break;
            }
            results.add(result);
            pending.remove(result.item());
        }
        List<PartialText> parts = new ArrayList<>();
        for (PartialText part : inProgress) {
            bytes += JsonSize.of(part);
            if (bytes <= JsonSize.MAX_BYTES) {
                parts.add(part);
            }
        }
        return new ResultSegment(new ResultSegment.Writer(self, nextSegment), results, parts, claiming);
    }

    // If another runner's segment was stored instead of the append, the results of the append become pending again
    // unless they are committed.
    private boolean apply(long nowMs, ResultSegment segment) {
        nextSegment++;
        texts.add(segment);
        writers.add(segment.writer().process());
        if (segment.claim()) {
            applyClaim(nowMs, segment.writer().process());
        }
        committed.add(segment.results());
        append.ifPresent(rejected -> rejected.results().forEach(r -> pending.putIfAbsent(r.item(), r)));
        append = Optional.empty();
        pending.keySet().removeIf(this::isCommitted);
        return !segment.results().isEmpty();
    }

    // A claim that is found while the log is loaded was made by an earlier runner against those before it.
    private void applyClaim(long nowMs, String process) {
        if (loading) {
            return;
        }
        claimant = Optional.of(process);
        if (process.equals(self)) {
            claiming = false;
            claimedAtMs = nowMs;
        }
    }
}
