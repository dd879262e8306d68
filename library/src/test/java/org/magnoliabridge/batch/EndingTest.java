package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.sim.SimStore;

class EndingTest {
    private static final BatchId BATCH = new BatchId("b");
    private static final long STEP_MS = 10;

    private final SimStore store = new SimStore();
    private final Ending ending = new Ending(BATCH, Batches.TEAM, 0);
    private long nowMs;
    private int requests;

    @BeforeEach
    void storeBatch() {
        submit();
    }

    /** Guards against an end that is forgotten, or a store that is called without a pause, during a long outage. */
    @Test
    void endIsStoredAfterALongOutage() throws MalformedBatchException {
        store.unavailable = true;
        advanceTo(600_000);
        assertThat(ending.answer(), is(Optional.empty()));
        assertThat("calls in 10 minutes", requests, lessThan(700));
        store.unavailable = false;
        advanceTo(602_000);
        assertThat(ending.isStored(), is(true));
        assertThat(storedHead().ended(), is(true));
    }

    /** Guards against an end that counts as stored, or as lost, although the reply to its write was lost. */
    @Test
    void writeWithoutAReplyIsReadBack() throws MalformedBatchException {
        ending.reply(nowMs, store.apply(ending.next(nowMs).orElseThrow()));
        StoreRequest write = ending.next(nowMs).orElseThrow();
        assertThat(write, instanceOf(StoreRequest.Write.class));
        ending.reply(nowMs, new StoreReply.Unknown());
        assertThat(ending.isStored(), is(false));
        store.apply(write);
        advanceTo(100);
        assertThat(ending.isStored(), is(true));
        assertThat(ending.answer().orElseThrow(), instanceOf(ReadAnswer.Results.class));
    }

    /** Guards against a batch that runs although its end was asked for before its submission was stored. */
    @Test
    void batchThatIsStoredAfterItsEndIsEnded() throws MalformedBatchException {
        store.objects.clear();
        advanceTo(5_000);
        assertThat(ending.answer().orElseThrow(), instanceOf(ReadAnswer.Missing.class));
        submit();
        advanceTo(15_000);
        assertThat(storedHead().ended(), is(true));
    }

    /** Guards against requests for batches that never existed and keep calling the store. */
    @Test
    void absentBatchIsLookedForAFewTimesOnly() throws MalformedBatchException {
        store.objects.clear();
        advanceTo(120_000);
        assertThat(ending.isDone(nowMs), is(true));
        assertThat(requests, lessThan(7));
    }

    /** Guards against a team that ends another team's batch. */
    @Test
    void batchOfAnotherTeamIsNotEnded() throws MalformedBatchException {
        Ending other = new Ending(BATCH, new TeamId("elm"), 0);
        other.reply(0, store.apply(other.next(0).orElseThrow()));
        assertThat(other.answer().orElseThrow(), instanceOf(ReadAnswer.Missing.class));
        assertThat(other.isDone(0), is(true));
        assertThat(other.next(0), is(Optional.empty()));
        assertThat(storedHead().ended(), is(false));
    }

    private void submit() {
        store.apply(new StoreRequest.Write(
                BatchKeys.head(BATCH), ObjectStore.ABSENT, BatchCodec.head(Batches.head("b", 1))));
    }

    private BatchHead storedHead() throws MalformedBatchException {
        return BatchCodec.head(store.objects.get(BatchKeys.head(BATCH)).value());
    }

    private void advanceTo(long untilMs) throws MalformedBatchException {
        for (; nowMs < untilMs; nowMs += STEP_MS) {
            Optional<StoreRequest> next = ending.next(nowMs);
            if (next.isPresent()) {
                requests++;
                ending.reply(nowMs, store.apply(next.get()));
            }
        }
    }
}
