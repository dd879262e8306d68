package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.batch.BatchMessages.EndRequest;
import org.magnoliabridge.batch.BatchMessages.Offer;
import org.magnoliabridge.batch.BatchMessages.ReadRequest;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.WeightVersion;

class BatchMessagesTest {
    /** Guards against encoding errors that change a text, for arbitrary characters. */
    @Property(tries = 300)
    void answerRoundTrips(@ForAll String text, @ForAll boolean completed) throws MalformedBatchException {
        ItemResult result = new ItemResult(
                new ItemId("i"), completed, valid(text), List.of(new WeightVersion(2), new WeightVersion(3)));
        ReadAnswer answer = new ReadAnswer.Results(40, List.of(result, result.withScore("3e1b.07")));
        assertThat(BatchMessages.answer(BatchMessages.pack(answer)), is(answer));
        ResultSegment segment = ResultSegment.of("n1-1", 0, List.of(result));
        assertThat(BatchCodec.segment(BatchCodec.segment(segment)), is(segment));
    }

    /** Guards against invalid bytes from another node that cause anything but a {@link MalformedBatchException}. */
    @Property(tries = 1_000)
    void arbitraryBytesAreRejected(@ForAll byte[] bytes) {
        assertThrowsOrReads(() -> BatchMessages.answer(bytes));
        assertThrowsOrReads(() -> BatchMessages.offer(bytes));
        assertThrowsOrReads(() -> BatchMessages.read(bytes));
        assertThrowsOrReads(() -> BatchMessages.announcement(bytes));
        assertThrowsOrReads(() -> BatchMessages.endRequest(bytes));
        assertThrowsOrReads(() -> BatchCodec.head(bytes));
        assertThrowsOrReads(() -> BatchCodec.items(bytes));
    }

    /** Guards against an encoding that loses a part of an offer. */
    @Test
    void offerRoundTrips() throws MalformedBatchException {
        BatchHead head = Batches.head("b", 2, 3, true);
        Offer offer = new Offer(head, true, Optional.of(Batches.items("a", 2)));
        Offer read = BatchMessages.offer(BatchMessages.pack(offer));
        assertThat(read.head(), is(head));
        assertThat(read.newlyAccepted(), is(true));
        assertThat(
                read.items()
                        .orElseThrow()
                        .get(1)
                        .sameRequest(Batches.items("a", 2).get(1)),
                is(true));
        assertThat(
                BatchMessages.offer(BatchMessages.pack(new Offer(head, false, Optional.empty())))
                        .items(),
                is(Optional.empty()));
    }

    /** Guards against an answer without results that arrives when others have read one for more than a second. */
    @Test
    void lateAnswerWithoutResultsIsOutdated() {
        ReadRequest request = new ReadRequest(new BatchId("b"), Batches.TEAM, 3, 1_000, Optional.empty());
        ReadAnswer none = new ReadAnswer.Results(40, List.of());
        assertThat(request.isOutdated(none, 1_300), is(false));
        assertThat(request.isOutdated(none, 1_301), is(true));
        ItemResult result = new ItemResult(new ItemId("i"), true, "x", List.of(new WeightVersion(2)));
        assertThat(request.isOutdated(new ReadAnswer.Results(40, List.of(result)), 9_000), is(false));
        assertThat("all results were read", request.isOutdated(new ReadAnswer.Results(3, List.of()), 9_000), is(false));
        assertThat(request.isOutdated(new ReadAnswer.Unsure(), 9_000), is(false));
    }

    /** Guards against reads of the wrong position or item. */
    @Test
    void readRequestRoundTrips() throws MalformedBatchException {
        ReadRequest read = new ReadRequest(new BatchId("b"), Batches.TEAM, 12, 1_000, Optional.of(new ItemId("i")));
        assertThat(BatchMessages.read(BatchMessages.pack(read)), is(read));
        byte[] cut = Arrays.copyOf(BatchMessages.pack(read), 5);
        assertThrows(MalformedBatchException.class, () -> BatchMessages.read(cut));
    }

    /** Guards against an end that stops the batch of another team. */
    @Test
    void endRequestRoundTrips() throws MalformedBatchException {
        EndRequest request = new EndRequest(new BatchId("b"), Batches.TEAM);
        assertThat(BatchMessages.endRequest(BatchMessages.pack(request)), is(request));
    }

    // A text that is not valid Unicode cannot come from an engine, whose bytes are decoded first.
    private static String valid(String text) {
        return new String(
                text.getBytes(java.nio.charset.StandardCharsets.UTF_8), java.nio.charset.StandardCharsets.UTF_8);
    }

    private interface Reading {
        void read() throws MalformedBatchException;
    }

    private static void assertThrowsOrReads(Reading reading) {
        try {
            reading.read();
        } catch (MalformedBatchException e) {
            assertThat(e.getMessage() != null, is(true));
        }
    }
}
