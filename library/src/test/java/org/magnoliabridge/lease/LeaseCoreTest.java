package org.magnoliabridge.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.external.MemoryStore;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;

class LeaseCoreTest {
    private static final ObjectKey KEY = new ObjectKey("leases/endpoints");
    private static final long LONG_AGO_MS = -60_000;
    private final MemoryStore store = new MemoryStore();
    private final List<LeaseEffect> allEffects = new ArrayList<>();

    /** Guards against a rolling restart during which scopes have no holder until their leases expire. */
    @Test
    void releasedLeaseCanBeAcquiredImmediately() {
        LeaseCore first = core("node-0");
        LeaseCore second = core("node-1");
        run(first, 0, first.onTick(0));
        run(first, 1, first.release(1));
        assertThat(allEffects, hasItem(instanceOf(LeaseEffect.Released.class)));
        run(second, 2, second.onTick(2));
        assertThat(second.view().fencing(), is(new FencingToken(2)));
        assertThat(
                "waits for the last sends of the previous holder", second.view().maySend(2_001), is(false));
        assertThat(second.view().maySend(2_002), is(true));
    }

    /** Guards against a lease that counts from the read-back: it counts from the time its write was sent. */
    @Test
    void unconfirmedWriteIsFoundByItsWriterIdAndCountsFromItsSendTime() {
        LeaseCore core = core("node-0");
        LeaseEffect.Call read = (LeaseEffect.Call) core.onTick(0).get(0);
        LeaseEffect.Call write = (LeaseEffect.Call)
                core.onReply(10, read.callId(), new StoreReply.NotFound()).get(0);
        StoreReply lostReply = StoreRunner.perform(store, write.request());
        assertThat(lostReply, instanceOf(StoreReply.Written.class));
        run(core, 2_010, core.onReply(2_010, write.callId(), new StoreReply.Unknown()));
        assertThat(core.view().held(), is(true));
        assertThat(core.view().sendUntilMs(), is(10 + 10_000 - 3_000L));
    }

    /** Guards against a holder that keeps sending although it can't renew the lease. */
    @Test
    void holderStopsAtItsMarginWithoutAnyReply() {
        LeaseCore core = core("node-0");
        run(core, 0, core.onTick(0));
        for (long now = 100; now <= 7_000; now += 100) {
            allEffects.addAll(core.onTick(now));
        }
        assertThat(core.view().held(), is(false));
        assertThat(allEffects, hasItem(new LeaseEffect.MustStop(new FencingToken(1))));
    }

    /** Guards against a lease that no node acquires, without a word, because another writer left an odd object. */
    @Test
    void unreadableLeaseIsReportedAndNotAcquired() throws PlatformException {
        store.write(KEY, ObjectStore.ABSENT, "{\"holder\":7}".getBytes(StandardCharsets.UTF_8));
        LeaseCore core = core("node-0");
        run(core, 0, core.onTick(0));
        run(core, 60_000, core.onTick(60_000));
        assertThat(core.view().held(), is(false));
        assertThat(allEffects, hasItem(new LeaseEffect.Unreadable()));
    }

    /** Guards against reuse of a fencing token after the lease object was deleted. */
    @Test
    void deletedLeaseDoesNotRestartTheToken() throws PlatformException {
        LeaseCore core = core("node-0");
        run(core, 0, core.onTick(0));
        store.delete(KEY, 1);
        run(core, 3_000, core.onTick(3_000));
        run(core, 3_001, core.onTick(3_001));
        assertThat(core.view().fencing(), is(new FencingToken(2)));
    }

    /** Guards against a lease that passes to another node and back while calls of both still count as simultaneous. */
    @Test
    void processThatHeldTheLeaseBeforeAnotherOneWaitsForTheLeaseDuration() {
        LeaseCore first = core("node-0");
        LeaseCore second = core("node-1");
        run(first, 0, first.onTick(0));
        run(first, 6_000, first.onTick(6_000));
        run(second, 6_001, second.onTick(6_001));
        first.setCandidate(false);
        run(first, 13_000, first.onTick(13_000));
        assertThat("expired without a renewal", first.view().held(), is(false));
        run(second, 16_001, second.onTick(16_001));
        assertThat(second.view().held(), is(true));
        run(second, 16_100, second.release(16_100));
        first.setCandidate(true);
        run(first, 16_200, first.onTick(16_200));
        assertThat(first.view().held(), is(true));
        assertThat(first.view().sendFromMs(), is(13_000 + 10_000 + 2_000L));
    }

    /** Guards against nodes that alternate so fast that each one waits anew and none ever sends. */
    @Test
    void leaseThatWasNotUsedDoesNotExtendTheWait() {
        LeaseCore first = core("node-0");
        LeaseCore second = core("node-1");
        run(first, 0, first.onTick(0));
        run(first, 1_000, first.onSuspension(1_000));
        first.setCandidate(false);
        run(second, 1_100, second.onTick(1_100));
        run(second, 11_200, second.onTick(11_200));
        run(second, 11_300, second.release(11_300));
        first.setCandidate(true);
        run(first, 11_400, first.onTick(11_400));
        assertThat(first.view().sendFromMs(), is(11_400 + 2_000L));
    }

    /** Guards against a node that is restarted and takes a released lease back at once. */
    @Test
    void restartedProcessWaitsForTheLeaseDuration() {
        LeaseCore first = core("node-0");
        run(first, 0, first.onTick(0));
        run(first, 1, first.release(1));
        LeaseCore second = new LeaseCore(KEY, new NodeId("node-1"), new Incarnation(2), LeaseSettings.DEFAULT, 50);
        second.setCandidate(true);
        run(second, 60, second.onTick(60));
        assertThat(second.view().held(), is(true));
        assertThat(second.view().sendFromMs(), is(50 + 10_000 + 2_000L));
    }

    /** Guards against duties that nobody performs for the lease duration after a restart of all nodes at once. */
    @Test
    void restartedHolderTakesItsLeaseBackAtOnce() {
        LeaseCore first = core("node-0");
        run(first, 0, first.onTick(0));
        run(first, 3_000, first.onTick(3_000));
        LeaseCore second = new LeaseCore(KEY, new NodeId("node-0"), new Incarnation(2), LeaseSettings.DEFAULT, 3_500);
        second.setCandidate(true);
        run(second, 3_600, second.onTick(3_600));
        assertThat(second.view().held(), is(true));
        assertThat(second.view().fencing(), is(new FencingToken(2)));
        assertThat(second.view().sendFromMs(), is(3_600 + 2_000L));
    }

    /** Guards against turns of two nodes: the earlier process itself was still waiting for another node. */
    @Test
    void restartedHolderThatWasWaitingWaitsAgain() {
        LeaseCore other = core("node-1");
        run(other, 0, other.onTick(0));
        run(other, 100, other.release(100));
        LeaseCore first = new LeaseCore(KEY, new NodeId("node-0"), new Incarnation(2), LeaseSettings.DEFAULT, 150);
        first.setCandidate(true);
        run(first, 200, first.onTick(200));
        LeaseCore second = new LeaseCore(KEY, new NodeId("node-0"), new Incarnation(3), LeaseSettings.DEFAULT, 1_000);
        second.setCandidate(true);
        run(second, 1_100, second.onTick(1_100));
        assertThat(second.view().held(), is(false));
    }

    /** Guards against a process that takes the lease of a later process of its node. */
    @Test
    void leaseOfALaterProcessIsLeftAlone() {
        LeaseCore later = new LeaseCore(KEY, new NodeId("node-0"), new Incarnation(5), LeaseSettings.DEFAULT, 0);
        later.setCandidate(true);
        run(later, 0, later.onTick(0));
        run(later, 3_000, later.onTick(3_000));
        LeaseCore earlier = core("node-0");
        run(earlier, 3_100, earlier.onTick(3_100));
        assertThat(earlier.view().held(), is(false));
    }

    /** Guards against a wait at the first start of all nodes. */
    @Test
    void firstHolderWaitsOnlyForCallsUnderWay() {
        LeaseCore core = new LeaseCore(KEY, new NodeId("node-0"), new Incarnation(1), LeaseSettings.DEFAULT, 0);
        core.setCandidate(true);
        run(core, 0, core.onTick(0));
        assertThat(core.view().sendFromMs(), is(2_000L));
    }

    private static LeaseCore core(String name) {
        LeaseCore core = new LeaseCore(KEY, new NodeId(name), new Incarnation(1), LeaseSettings.DEFAULT, LONG_AGO_MS);
        core.setCandidate(true);
        return core;
    }

    private void run(LeaseCore core, long nowMs, List<LeaseEffect> effects) {
        allEffects.addAll(effects);
        for (LeaseEffect effect : effects) {
            if (effect instanceof LeaseEffect.Call call) {
                run(core, nowMs, core.onReply(nowMs, call.callId(), StoreRunner.perform(store, call.request())));
            }
        }
    }
}
