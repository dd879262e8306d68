package org.magnoliabridge.bundle;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.security.KeyPair;
import java.security.PrivateKey;
import java.security.SecureRandom;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliabridge.bundle.MemoryStore.Fault;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.keys.KeyTable;
import org.magnoliabridge.keys.TeamKey;

class BundleStoreTest {
    private static final KeyPair KEYS = BundleSignature.generateKeys();
    private static final TeamId TEAM = new TeamId("anvil");

    private final MemoryStore memory = new MemoryStore();
    private final BundleStore store = new BundleStore(memory, new SecureRandom());

    static void roll(BundleStore store, Bundle edited, PrivateKey key) throws Exception {
        BundleStore.Draft draft = store.create(edited);
        store.roll(draft, store.sign(draft, key));
    }

    @BeforeEach
    void rollFirst() throws Exception {
        roll(store, BundleJsonTest.sample(), KEYS.getPrivate());
    }

    /** Guards I14: of two concurrent rolls exactly one succeeds. */
    @Test
    void oneOfTwoConcurrentRollsSucceeds() throws Exception {
        BundleStore other = new BundleStore(memory, new SecureRandom());
        BundleStore.Draft mine = store.create(store.current().orElseThrow());
        roll(other, other.current().orElseThrow(), KEYS.getPrivate());
        assertThrows(BundleConflictException.class, () -> store.roll(mine, store.sign(mine, KEYS.getPrivate())));
        assertThat(memory.heads.stream().map(h -> h.version().value()).toList(), contains(1L, 2L));
        FaultReport.add("two racing operators", "all checks on", "holds");
    }

    /** Guards against a wrong outcome after a lost answer, and against a crash that blocks the next roll. */
    @ParameterizedTest
    @CsvSource({
        "2,CRASH_BEFORE", "2,CRASH_AFTER", "2,LOSE_ANSWER", "2,LOSE_REQUEST", "2,LATE",
        "1,CRASH_BEFORE", "1,CRASH_AFTER", "1,LOSE_ANSWER", "1,LOSE_REQUEST", "1,LATE"
    })
    void reportsOutcomeOfRollAfterFault(int write, Fault fault) throws Exception {
        memory.faultAtWrite = 2 + write;
        memory.fault = fault;
        Bundle edited = store.current().orElseThrow();
        boolean crashed = false;
        try {
            roll(store, edited, KEYS.getPrivate());
        } catch (MemoryStore.Crash e) {
            crashed = true;
        }
        boolean inForce = store.current().orElseThrow().version().value() == 2;
        assertThat(inForce, is(!crashed || (write == 2 && fault == Fault.CRASH_AFTER)));
        roll(store, store.current().orElseThrow(), KEYS.getPrivate());
        long previous = 0;
        for (BundleHead head : memory.heads) {
            assertThat(
                    "head " + head.version() + " after " + previous,
                    head.version().value() > previous,
                    is(true));
            previous = head.version().value();
        }
        String step = write == 1 ? "bundle object" : "head";
        FaultReport.add("roll, write of the " + step + ": " + fault, "all checks on", "holds");
    }

    /** Guards against reporting a successful roll as failed if its answer is lost and another operator rolls next. */
    @Test
    void recognisesItsRollBeneathALaterOne() throws Exception {
        memory.faultAtWrite = 4;
        memory.fault = Fault.LOSE_ANSWER;
        BundleStore other = new BundleStore(memory, new SecureRandom());
        BundleStore.Draft mine = store.create(store.current().orElseThrow());
        SignedBundle signed = store.sign(mine, KEYS.getPrivate());
        memory.beforeWrite = () -> memory.beforeWrite = () -> memory.beforeWrite = () -> {
            try {
                roll(other, other.current().orElseThrow(), KEYS.getPrivate());
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        };
        store.roll(mine, signed);
        assertThat(memory.heads.stream().map(h -> h.version().value()).toList(), contains(1L, 2L, 3L));
    }

    /** Guards the life cycle of a key: an issued key works, a withdrawn one does not, and its id is not reused. */
    @Test
    void issuesAndWithdraws() throws Exception {
        TeamKey key = store.issueKey(TEAM, new KeyId("k2"), KEYS.getPrivate());
        List<Object> changes = List.copyOf(
                BundleDiff.between(BundleJsonTest.sample(), store.current().orElseThrow()));
        assertThat(changes.size(), equalTo(1));
        assertThat(changes.get(0).toString().startsWith("keys/k2: absent -> "), is(true));
        Withdrawals withdrawals = store.withdrawKey(key.id());
        assertThat(withdrawals.keys(), hasItem(key.id()));
        assertThat(store.withdrawKey(key.id()), equalTo(withdrawals));
        KeyTable table = KeyTable.of(store.current().orElseThrow().keys(), withdrawals.keys());
        assertThat(table.authenticate(key.reveal()), equalTo(new KeyTable.Withdrawn(key.id())));
        assertThrows(BundleConflictException.class, () -> store.issueKey(TEAM, new KeyId("k2"), KEYS.getPrivate()));
    }
}
