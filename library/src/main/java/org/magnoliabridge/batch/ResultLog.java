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
 * therefore never list an item twice, and a position never changes. An append whose answer was lost is read back; the
 * same bytes are sent again while the segment is absent, because the lost append may still arrive.
 */
final class ResultLog {
    // An object takes at most 1 MiB, and JSON escapes make a text longer.
    private static final int MAX_SEGMENT_CHARS = 400_000;
    private static final long RETRY_MS = 100;
    // Writes whatever is there; only for a log with its mechanism switched off.
    private static final long ANY_VERSION = -1;

    private final BatchId batch;
    private final String writerPrefix;
    private final Set<BatchMechanism> mechanisms;
    private final List<ItemResult> committed = new ArrayList<>();
    private final Set<ItemId> committedItems = new HashSet<>();
    private final Map<ItemId, ItemResult> pending = new LinkedHashMap<>();
    private final StoredTexts texts = new StoredTexts();
    private final Set<String> writers = new HashSet<>();
    private Optional<String> claimant = Optional.empty();
    private long claimedAtMs = Long.MAX_VALUE;
    private boolean claiming;
    private int nextSegment;
    private boolean loading;
    // Segments are read until one is absent: at the start, after a conflict or a lost answer, and on request.
    private boolean reading;
    private boolean inFlight;
    private Optional<ResultSegment> append = Optional.empty();
    private long sentAtMs;
    private long currentAtMs = Long.MIN_VALUE;
    private long notBeforeMs = Long.MIN_VALUE;

    /**
     * Creates a log.
     *
     * @param writerPrefix unique over all runners
     * @param loading whether earlier segments are read before anything is appended
     */
    ResultLog(BatchId batch, String writerPrefix, boolean loading) {
        this(batch, writerPrefix, loading, EnumSet.allOf(BatchMechanism.class));
    }

    ResultLog(BatchId batch, String writerPrefix, boolean loading, Set<BatchMechanism> mechanisms) {
        this.mechanisms = mechanisms;
        this.batch = Objects.requireNonNull(batch);
        this.writerPrefix = Objects.requireNonNull(writerPrefix);
        this.loading = loading;
        this.reading = loading;
    }

    /** Returns the latest time at which nothing was listed in the store that is not listed here. */
    long currentAtMs() {
        return currentAtMs;
    }

    /** Reads the store for segments of another runner, unless a request is on its way that tells as much. */
    void refresh() {
        reading |= !inFlight && append.isEmpty();
    }

    /** Returns the results whose positions are fixed, in order. */
    List<ItemResult> committed() {
        return committed;
    }

    boolean isCommitted(ItemId item) {
        return committedItems.contains(item);
    }

    /** Returns whether the earlier segments are still being read. */
    boolean loading() {
        return loading;
    }

    /** Returns the number of results that have no position yet. */
    int pending() {
        return pending.size() + append.map(a -> a.results().size()).orElse(0);
    }

    /** Returns the texts in progress that the log holds. */
    StoredTexts texts() {
        return texts;
    }

    /** Takes the texts in progress over with the next segment. */
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

    /** Returns whether the texts in progress belong to another runner by the last claim that is known. */
    boolean isClaimedByAnother() {
        return !claiming && claimant.filter(c -> !c.equals(writerPrefix)).isPresent();
    }

    /** Adds a result to be appended; the first one of an item counts. */
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
     * @param flush whether results that wait for company are appended now
     * @param inProgress the texts in progress as far as they are to be stored now; asked for a segment only
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
            List<PartialText> unsaved = inProgress.get();
            if (due || !unsaved.isEmpty()) {
                append = Optional.of(buildSegment(unsaved));
            }
        }
        return append.map(segment -> {
            markSent(nowMs);
            long expected =
                    mechanisms.contains(BatchMechanism.CREATE_SEGMENT_IF_ABSENT) ? ObjectStore.ABSENT : ANY_VERSION;
            return new StoreRequest.Write(BatchKeys.results(batch, nextSegment), expected, BatchCodec.segment(segment));
        });
    }

    /** Takes the reply to the last request; returns whether positions were added. */
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
                // Nothing is listed beyond here, or the lost append has not taken effect so far.
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
            case StoreReply.Listed list -> throw new IllegalStateException("no list was asked for");
        };
    }

    private void markSent(long nowMs) {
        inFlight = true;
        sentAtMs = nowMs;
    }

    private ResultSegment buildSegment(List<PartialText> inProgress) {
        List<ItemResult> results = new ArrayList<>();
        int chars = 0;
        for (ItemResult result : List.copyOf(pending.values())) {
            chars += result.text().length();
            if (!results.isEmpty() && chars > MAX_SEGMENT_CHARS) {
                break;
            }
            results.add(result);
            pending.remove(result.item());
        }
        List<PartialText> parts = new ArrayList<>();
        for (PartialText part : inProgress) {
            chars += part.events().stream().mapToInt(e -> e.data().length()).sum();
            if (chars <= MAX_SEGMENT_CHARS) {
                parts.add(part);
            }
        }
        return new ResultSegment(new ResultSegment.Writer(writerPrefix, nextSegment), results, parts, claiming);
    }

    // Results of an append that lost against another runner's segment go back and are filtered by what was listed.
    private boolean apply(long nowMs, ResultSegment segment) {
        nextSegment++;
        texts.add(segment);
        writers.add(segment.writer().process());
        if (segment.claim()) {
            applyClaim(nowMs, segment.writer().process());
        }
        for (ItemResult result : segment.results()) {
            if (committedItems.add(result.item())) {
                committed.add(result);
            }
        }
        append.ifPresent(lost -> lost.results().forEach(r -> pending.putIfAbsent(r.item(), r)));
        append = Optional.empty();
        pending.keySet().removeIf(this::isCommitted);
        return !segment.results().isEmpty();
    }

    private void applyClaim(long nowMs, String process) {
        claimant = Optional.of(process);
        if (process.equals(writerPrefix)) {
            claiming = false;
            claimedAtMs = nowMs;
        }
    }
}
