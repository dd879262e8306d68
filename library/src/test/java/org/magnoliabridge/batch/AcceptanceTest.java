package org.magnoliabridge.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.GroupId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.sim.SimStore;

class AcceptanceTest {
    private final SimStore store = new SimStore();

    /** Guards against failure of a batch that is larger than the maximum size of a store object. */
    @Test
    void largeBatchIsStoredInParts() throws MalformedBatchException {
        List<BatchItem> items = new ArrayList<>();
        for (int i = 0; i < 600; i++) {
            items.add(new BatchItem(
                    new ItemId("i" + i), new GroupId("g" + i / 8), "/p", Map.of(), new byte[4_000], 50, 100, 0));
        }
        Acceptance acceptance = new Acceptance(Batches.head("b", items.size()), items);
        run(acceptance);
        BatchHead head = acceptance.accepted().orElseThrow();
        assertThat(head.parts(), greaterThan(1));
        int read = 0;
        for (int part = 0; part < head.parts(); part++) {
            byte[] value = store.objects.get(BatchKeys.items(head.id(), part)).value();
            assertThat(value.length, lessThan(ObjectStore.MAX_VALUE_BYTES));
            read += BatchCodec.items(value).size();
        }
        assertThat(read, is(600));
    }

    /** Guards against counting a batch as new when it is submitted again at another node. */
    @Test
    void sameBatchAtAnotherNodeIsAcceptedWithTheStoredHead() throws MalformedBatchException {
        Acceptance first = new Acceptance(Batches.head("b", 2), Batches.items("a", 2));
        run(first);
        Acceptance second = new Acceptance(Batches.head("b", 2), Batches.items("a", 2));
        run(second);
        assertThat(first.createdHead(), is(true));
        assertThat(second.createdHead(), is(false));
        assertThat(second.accepted(), is(first.accepted()));
    }

    /** Guards against a rejection while a write whose reply was lost may still take effect. */
    @Test
    void unconfirmedWriteLeavesTheAcceptanceUndecidedUntilItIsReadBack() throws MalformedBatchException {
        Acceptance acceptance = new Acceptance(Batches.head("b", 1), Batches.items("a", 1));
        acceptance.next(0);
        acceptance.reply(0, new StoreReply.Written(1));
        assertThat(acceptance.undecided(), is(false));
        acceptance.next(0);
        acceptance.reply(0, new StoreReply.Unknown());
        assertThat(acceptance.undecided(), is(true));
        Optional<StoreRequest> next = acceptance.next(1_000);
        assertThat(next.orElseThrow() instanceof StoreRequest.Read, is(true));
        acceptance.reply(1_000, new StoreReply.NotFound());
        assertThat("the unconfirmed write may still take effect", acceptance.undecided(), is(true));
        assertThat(acceptance.next(1_000).orElseThrow() instanceof StoreRequest.Write, is(true));
        acceptance.reply(1_000, new StoreReply.Written(2));
        assertThat(acceptance.undecided(), is(false));
    }

    private void run(Acceptance acceptance) throws MalformedBatchException {
        Optional<StoreRequest> request = acceptance.next(0);
        while (request.isPresent()) {
            acceptance.reply(0, store.apply(request.get()));
            request = acceptance.next(0);
        }
    }
}
