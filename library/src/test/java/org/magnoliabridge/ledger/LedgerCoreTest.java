package org.magnoliabridge.ledger;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoredObject;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ledger.LedgerEffect.Reason;
import org.magnoliabridge.ledger.ShardImage.MalformedShardException;

class LedgerCoreTest {
    private final LedgerCore core = new LedgerCore(new NodeId("n1"), new Incarnation(0), 1);

    /** Guards against one write per call, which would exceed the platform's write rate. */
    @Test
    void callsThatArriveDuringARequestShareTheNextWrite() throws MalformedShardException {
        call(1, "a", 0);
        call(2, "b", 1);
        call(3, "c", 2);
        LedgerEffect.Store write =
                (LedgerEffect.Store) reply(1, new StoreReply.NotFound(), 3).getFirst();
        byte[] value = ((StoreRequest.Write) write.request()).value();
        assertThat(ShardImage.decode(value).records(), hasSize(3));
        assertThat(reply(write.tag(), new StoreReply.Written(1), 4), hasSize(3));
    }

    /** Guards against a refusal that does not say that the call did not run, while the platform is unavailable. */
    @Test
    void refusesAsNotRunWhenThePlatformIsUnavailable() {
        call(1, "a", 0);
        assertThat(
                reply(1, new StoreReply.Unavailable(), 1),
                is(List.of(new LedgerEffect.Answer(1, new LedgerEffect.NotRun(Reason.PLATFORM_UNAVAILABLE)))));
    }

    /** Guards against a key that is still refused after the retention. */
    @Test
    void acceptsAKeyAgainAfterTheRetention() {
        ShardImage image = new ShardImage();
        LedgerKey key = new LedgerKey(new TeamId("t"), new ServiceId("s"), "a");
        image.put(LedgerRecord.claim(key.hash(), LedgerKey.digestOf(new byte[0]), LedgerKey.digestOf(new byte[1]), 0));
        call(1, "a", LedgerShard.RETENTION_MS + 1);
        LedgerEffect.Store next = (LedgerEffect.Store)
                reply(1, found(image), LedgerShard.RETENTION_MS + 2).getFirst();
        assertThat(next.request(), instanceOf(StoreRequest.Write.class));
    }

    /** Guards against a call that is sent so late that its claim may have been pruned. */
    @Test
    void doesNotSendWhenTheCommitIsConfirmedTooLate() {
        call(1, "a", 0, 7_200_000);
        reply(1, new StoreReply.NotFound(), 1);
        List<LedgerEffect> effects = reply(2, new StoreReply.Written(1), LedgerShard.CLAIM_VALIDITY_MS + 10);
        assertThat(
                effects.getFirst(),
                equalTo(new LedgerEffect.Answer(1, new LedgerEffect.NotRun(Reason.DEADLINE_EXCEEDED))));
    }

    /** Guards against a shard object over the size limit, and against a wrong answer when the shard is full. */
    @Test
    void refusesANewKeyWhenTheShardIsFull() {
        ShardImage image = new ShardImage();
        for (int i = 0; image.makeSpace(); i++) {
            String hash = LedgerKey.digestOf(Integer.toString(i).getBytes(java.nio.charset.StandardCharsets.UTF_8));
            image.put(LedgerRecord.claim(hash, hash, hash, 0)
                    .done(StoredAnswer.of(200, "text/plain", new byte[1_000]), 0));
            image.dropBodies();
        }
        assertThat(image.encode().length, lessThanOrEqualTo(ObjectStore.MAX_VALUE_BYTES - 1));
        call(1, "a", 1);
        assertThat(
                reply(1, found(image), 2),
                is(List.of(new LedgerEffect.Answer(1, new LedgerEffect.NotRun(Reason.LEDGER_FULL)))));
    }

    /** Guards against overwriting a damaged shard, which would lose its claims. */
    @Test
    void refusesAndDoesNotWriteWhenTheShardIsMalformed() {
        call(1, "a", 0);
        StoredObject damaged = new StoredObject(new ObjectKey("ledger/0"), 3, new byte[] {1, 2, 3});
        assertThat(reply(1, new StoreReply.Found(damaged), 1), hasSize(1));
        assertThat(core.pending(), is(0));
    }

    /** Guards against a size estimate below the encoded size, and against fields lost in the encoding. */
    @Test
    void encodingIsReversibleAndWithinItsBound() throws MalformedShardException {
        ShardImage image = new ShardImage();
        String hash = LedgerKey.digestOf(new byte[0]);
        LedgerRecord entry = LedgerRecord.claim(hash, hash, hash, Long.MAX_VALUE)
                .done(StoredAnswer.of(599, "text/plain", new byte[4_096]), Long.MAX_VALUE);
        image.put(entry);
        byte[] encoded = image.encode();
        assertThat(ShardImage.decode(encoded).get(hash), is(entry));
        assertThat(encoded.length, lessThanOrEqualTo(entry.maxBytes()));
        for (int cut = 0; cut < 80; cut++) {
            byte[] part = java.util.Arrays.copyOf(encoded, cut);
            assertThrows(MalformedShardException.class, () -> ShardImage.decode(part));
        }
    }

    /** Guards against a late or repeated store answer being taken as the answer to a newer request. */
    @Test
    void ignoresARepeatedStoreAnswer() {
        call(1, "a", 0);
        reply(1, new StoreReply.NotFound(), 1);
        assertThat(reply(1, new StoreReply.NotFound(), 2), empty());
    }

    private List<LedgerEffect> call(long id, String key, long nowMs) {
        return call(id, key, nowMs, nowMs + 10_000);
    }

    private List<LedgerEffect> call(long id, String key, long nowMs, long deadlineMs) {
        LedgerKey name = new LedgerKey(new TeamId("t"), new ServiceId("s"), key);
        return core.handle(new LedgerInput.Call(id, name, LedgerKey.digestOf(new byte[0]), deadlineMs), nowMs);
    }

    private List<LedgerEffect> reply(long tag, StoreReply reply, long nowMs) {
        return core.handle(new LedgerInput.Reply(tag, reply), nowMs);
    }

    private static StoreReply found(ShardImage image) {
        return new StoreReply.Found(new StoredObject(new ObjectKey("ledger/0"), 1, image.encode()));
    }
}
