package org.magnoliabridge.batch;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoredObject;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.TeamId;

/**
 * Stores the end of a batch, and retries until the store holds it; idempotent.
 *
 * <p>Failure case: the store does not confirm the end before its caller gives up. The caller has asked for the end and
 * may rely on it although it got no answer, so the end is retried for as long as it takes. A batch that is absent is
 * looked for again for a while, because a submission whose caller got no answer may be stored after the end.
 */
public final class Ending implements StoreTask {
    private static final long FIRST_RETRY_MS = 20;
    private static final long MAX_RETRY_MS = 1_000;
    // A submission is stored within its deadline or not at all; the longest deadline of a caller is below this.
    private static final long ABSENT_MS = 30_000;

    private final BatchId batch;
    private final TeamId team;
    private final long startMs;
    private Optional<StoredObject> open = Optional.empty();
    private Optional<ReadAnswer> answer = Optional.empty();
    private boolean stored;
    private boolean otherTeam;
    private long retryMs = FIRST_RETRY_MS;
    private long absentRetryMs = MAX_RETRY_MS;
    private long notBeforeMs = Long.MIN_VALUE;

    /**
     * Creates an ending.
     *
     * @param team the team of the caller; a batch of another team is not ended
     */
    public Ending(BatchId batch, TeamId team, long nowMs) {
        this.batch = Objects.requireNonNull(batch);
        this.team = Objects.requireNonNull(team);
        this.startMs = nowMs;
    }

    BatchId batch() {
        return batch;
    }

    /** Returns the answer to the caller once it is known: no results, or that there is no such batch. */
    public Optional<ReadAnswer> answer() {
        return answer;
    }

    /** Returns whether the store holds the end. */
    public boolean isStored() {
        return stored;
    }

    /** Returns whether nothing is left to do. */
    public boolean isDone(long nowMs) {
        return stored || otherTeam || (answer.isPresent() && nowMs - startMs >= ABSENT_MS);
    }

    @Override
    public Optional<StoreRequest> next(long nowMs) {
        if (isDone(nowMs) || nowMs < notBeforeMs) {
            return Optional.empty();
        }
        return Optional.of(open.<StoreRequest>map(this::write).orElseGet(() -> new StoreRequest.Read(key())));
    }

    private StoreRequest write(StoredObject object) {
        return new StoreRequest.Write(key(), object.version(), object.value());
    }

    private ObjectKey key() {
        return BatchKeys.head(batch);
    }

    @Override
    public void reply(long nowMs, StoreReply reply) throws MalformedBatchException {
        switch (reply) {
            case StoreReply.Found found ->
                handleHead(found.object(), BatchCodec.head(found.object().value()));
            case StoreReply.Written done ->
                handleStored(BatchCodec.head(open.orElseThrow().value()));
            case StoreReply.Conflict changed -> open = Optional.empty();
            case StoreReply.NotFound absent -> {
                answer = Optional.of(new ReadAnswer.Missing());
                notBeforeMs = nowMs + absentRetryMs;
                absentRetryMs *= 2;
            }
            case StoreReply.Unknown unknown -> retry(nowMs);
            case StoreReply.Unavailable unavailable -> retry(nowMs);
            case StoreReply.Listed list ->
                throw new IllegalStateException("got a list reply to a read or write request");
        }
    }

    private void handleHead(StoredObject object, BatchHead head) {
        if (!head.team().equals(team)) {
            otherTeam = true;
            answer = Optional.of(new ReadAnswer.Missing());
        } else if (head.ended()) {
            handleStored(head);
        } else {
            answer = Optional.empty();
            open = Optional.of(new StoredObject(object.key(), object.version(), BatchCodec.head(head.end())));
        }
    }

    private void handleStored(BatchHead head) {
        stored = true;
        answer = Optional.of(new ReadAnswer.Results(head.items(), List.of()));
    }

    // A write without a reply may have taken effect, so the head is read again.
    private void retry(long nowMs) {
        open = Optional.empty();
        notBeforeMs = nowMs + retryMs;
        retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
    }
}
