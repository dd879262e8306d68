package org.magnoliabridge.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ByteBudgetTest {
    private static final int KIB = 1024;
    private static final int MIB = 1024 * KIB;
    private static final int ROOM = 64 * MIB;
    private static final int LARGE_ROOM = ROOM / 8 * 7;
    private static final int SMALL = 800;
    private static final String CALLER = "10.0.0.1";
    private static final String OTHER = "10.0.0.2";
    private static final long WAIT_MS = 1_000;
    private static final long TICK_MS = 50;

    private final ByteBudget budget = new ByteBudget(ROOM);
    private final List<BudgetEffect> effects = new ArrayList<>();
    private long nowMs;
    private long lastId;

    private ClaimId open(String origin) {
        ClaimId id = new ClaimId(++lastId);
        on(new BudgetInput.Open(id, Holding.REQUEST_BODY, origin, true));
        return id;
    }

    private ClaimId ask(String origin, long bytes) {
        ClaimId id = open(origin);
        on(new BudgetInput.Ask(id, bytes, WAIT_MS));
        return id;
    }

    private ClaimId granted(String origin, long bytes) {
        ClaimId id = ask(origin, bytes);
        assertThat(taken(), is(List.of(new BudgetEffect.Granted(id))));
        return id;
    }

    private void on(BudgetInput input) {
        effects.addAll(budget.on(nowMs, input));
        assertThat(budget.grantedBytes(), is(lessThanOrEqualTo((long) ROOM)));
    }

    /** Lets time pass while some claims make progress. */
    private void pass(long ms, ClaimId... moving) {
        for (long endMs = nowMs + ms; nowMs < endMs; ) {
            nowMs += TICK_MS;
            Stream.of(moving).forEach(c -> on(new BudgetInput.Progress(c)));
            on(new BudgetInput.Tick());
        }
    }

    private List<BudgetEffect> taken() {
        List<BudgetEffect> copy = List.copyOf(effects);
        effects.clear();
        return copy;
    }

    /** Guards against more bytes than the limit when many large bodies come at once, and against a wait without end. */
    @Test
    void whatHasNoRoomWaitsForABoundedTime() {
        ClaimId first = granted(CALLER, LARGE_ROOM);
        ClaimId waits = ask(OTHER, 20 * MIB);
        pass(WAIT_MS - TICK_MS, first);
        assertThat(taken(), is(empty()));
        pass(TICK_MS, first);
        assertThat(taken(), is(List.of(new BudgetEffect.Refused(waits, BudgetEffect.Reason.NO_ROOM))));
    }

    /** Guards against a burst of large bodies that is refused although the first ones end soon. */
    @Test
    void whatWaitsIsGrantedWhenRoomIsReturned() {
        ClaimId first = granted(CALLER, LARGE_ROOM);
        ClaimId waits = ask(OTHER, 20 * MIB);
        pass(500, first);
        on(new BudgetInput.Release(first));
        assertThat(taken(), is(List.of(new BudgetEffect.Granted(waits))));
    }

    /** Guards against waiting for what can never be granted. */
    @Test
    void whatNeverFitsIsRefusedAtOnce() {
        ClaimId body = ask(CALLER, LARGE_ROOM + 1);
        assertThat(taken(), is(List.of(new BudgetEffect.Refused(body, BudgetEffect.Reason.NEVER_FITS))));
        ClaimId growing = granted(CALLER, LARGE_ROOM);
        on(new BudgetInput.Ask(growing, 1, WAIT_MS));
        assertThat(taken(), is(List.of(new BudgetEffect.Refused(growing, BudgetEffect.Reason.NEVER_FITS))));
    }

    /** Guards against large bodies that leave no room for ordinary requests. */
    @Test
    void smallClaimsHaveRoomOfTheirOwn() {
        ClaimId large = granted(CALLER, LARGE_ROOM);
        List<ClaimId> waiting = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            waiting.add(ask(CALLER, MIB));
        }
        assertThat(taken(), is(empty()));
        for (int i = 0; i < 128; i++) {
            granted(CALLER, 64 * KIB);
        }
        ask(OTHER, 1);
        assertThat(taken(), is(empty()));
        on(new BudgetInput.Release(waiting.getFirst()));
        on(new BudgetInput.Release(large));
        assertThat(budget.waiting(), is(99 - 56 + 1));
    }

    /** Guards against a small claim that grows into the room of the small ones. */
    @Test
    void aGrowingClaimLeavesTheSmallRoom() {
        ClaimId growing = granted(CALLER, 64 * KIB);
        ClaimId large = granted(OTHER, LARGE_ROOM);
        on(new BudgetInput.Ask(growing, 1, WAIT_MS));
        assertThat(taken(), is(empty()));
        pass(WAIT_MS, large);
        assertThat(taken(), is(List.of(new BudgetEffect.Refused(growing, BudgetEffect.Reason.NO_ROOM))));
        on(new BudgetInput.Release(large));
        on(new BudgetInput.Ask(growing, LARGE_ROOM - 64 * KIB, WAIT_MS));
        assertThat(taken(), is(List.of(new BudgetEffect.Granted(growing))));
    }

    /** Guards against 100 bodies of 1 MiB that stop short of their end and keep a moving one and small ones out. */
    @Test
    void bodiesThatStopShortGiveWay() {
        List<ClaimId> stopped = new ArrayList<>();
        for (int i = 0; i < 56; i++) {
            stopped.add(granted("10.0.1." + i, MIB));
            nowMs++;
        }
        for (int i = 0; i < 44; i++) {
            ask("10.0.2." + i, MIB);
        }
        ClaimId small = granted(OTHER, SMALL);
        on(new BudgetInput.Release(small));
        pass(900);
        assertThat(taken(), is(empty()));
        ClaimId large = ask(OTHER, 20 * MIB);
        pass(200);
        List<ClaimId> evicted = evicted(taken());
        assertThat(evicted, is(stopped.subList(0, 20)));
        evicted.forEach(c -> on(new BudgetInput.Release(c)));
        assertThat(budget.grantedBytes(large), is(20L * MIB));
        pass(5_000, large);
        assertThat(evicted(taken()).contains(large), is(false));
    }

    /** Guards against answers that nobody reads and that keep others out, and against an answer lost by a pause. */
    @Test
    void anAnswerGivesWayAfterALongerPause() {
        ClaimId answer = new ClaimId(++lastId);
        on(new BudgetInput.Open(answer, Holding.CALLER_ANSWER, CALLER, true));
        on(new BudgetInput.Ask(answer, LARGE_ROOM, 0));
        pass(3_500);
        taken();
        ClaimId early = ask(OTHER, MIB);
        pass(WAIT_MS);
        assertThat(taken(), is(List.of(new BudgetEffect.Refused(early, BudgetEffect.Reason.NO_ROOM))));
        ask(OTHER, MIB);
        pass(WAIT_MS);
        assertThat(taken().getFirst(), is(new BudgetEffect.Evicted(answer)));
    }

    /** Guards against more evictions than are needed, and against one that lets nobody in. */
    @Test
    void onlyWhatMakesRoomEnoughIsEvicted() {
        ClaimId oldest = granted("10.0.1.1", MIB);
        nowMs++;
        ClaimId older = granted("10.0.1.2", 20 * MIB);
        nowMs++;
        ClaimId moving = granted("10.0.1.3", 35 * MIB);
        pass(1_000, moving);
        ClaimId tooLarge = ask(OTHER, 30 * MIB);
        pass(TICK_MS, moving);
        assertThat(taken(), is(empty()));
        on(new BudgetInput.Release(tooLarge));
        ask(OTHER, 20 * MIB);
        pass(TICK_MS, moving);
        assertThat(taken(), is(List.of(new BudgetEffect.Evicted(older))));
        ask(OTHER, MIB);
        pass(TICK_MS, moving);
        assertThat(taken(), is(List.of(new BudgetEffect.Evicted(oldest))));
    }

    /** Guards against evictions one after another while the first one is still being carried out. */
    @Test
    void anEvictionIsAwaited() {
        ClaimId first = granted(CALLER, 28 * MIB);
        nowMs++;
        ClaimId second = granted(OTHER, 28 * MIB);
        pass(1_000);
        ClaimId waits = ask("10.0.1.1", 20 * MIB);
        pass(500);
        assertThat(taken(), is(List.of(new BudgetEffect.Evicted(first))));
        on(new BudgetInput.Release(first));
        assertThat(taken(), is(List.of(new BudgetEffect.Granted(waits))));
        assertThat(budget.grantedBytes(second), is(28L * MIB));
    }

    /** Guards against a slow body that is refused although nobody needs its room. */
    @Test
    void nobodyGivesWayInCalm() {
        granted(CALLER, 20 * MIB);
        pass(60_000);
        granted(OTHER, 20 * MIB);
        pass(60_000);
        assertThat(taken(), is(empty()));
    }

    /** Guards against a claim that is told to give way although nobody is there to be told. */
    @Test
    void aClaimWithoutAnOwnerIsNotEvicted() {
        ClaimId page = new ClaimId(++lastId);
        on(new BudgetInput.Open(page, Holding.BATCH_READ, CALLER, false));
        on(new BudgetInput.Ask(page, LARGE_ROOM, 0));
        taken();
        pass(2_000);
        ClaimId waits = ask(OTHER, MIB);
        pass(WAIT_MS);
        assertThat(taken(), is(List.of(new BudgetEffect.Refused(waits, BudgetEffect.Reason.NO_ROOM))));
    }

    /** Guards against one caller whose many connections keep others waiting behind them. */
    @Test
    void theOriginThatHoldsLeastGoesFirst() {
        ClaimId held = granted(CALLER, 28 * MIB);
        ClaimId other = granted("10.0.1.1", 28 * MIB);
        ClaimId again = ask(CALLER, 28 * MIB);
        ClaimId first = ask(OTHER, 28 * MIB);
        pass(500, held, other);
        on(new BudgetInput.Release(other));
        assertThat(taken(), is(List.of(new BudgetEffect.Granted(first))));
        on(new BudgetInput.Release(first));
        assertThat(taken(), is(List.of(new BudgetEffect.Granted(again))));
    }

    /** Guards against one caller with very many connections that displaces the slow ones of others. */
    @Test
    void anOriginThatHoldsOverHalfGivesWayFirst() {
        ClaimId slow = granted(OTHER, 10 * MIB);
        nowMs++;
        ClaimId many = granted(CALLER, 40 * MIB);
        pass(1_000);
        ask("10.0.1.1", 10 * MIB);
        pass(TICK_MS);
        assertThat(taken(), is(List.of(new BudgetEffect.Evicted(many))));
        assertThat(budget.grantedBytes(slow), is(10L * MIB));
    }

    /** Guards against the same caller when its own connections wait. */
    @Test
    void othersDoNotGiveWayToAnOriginThatHoldsOverHalf() {
        granted(OTHER, 10 * MIB);
        ClaimId moving = granted(CALLER, 40 * MIB);
        pass(1_000, moving);
        ClaimId waits = ask(CALLER, 10 * MIB);
        pass(WAIT_MS, moving);
        assertThat(taken(), is(List.of(new BudgetEffect.Refused(waits, BudgetEffect.Reason.NO_ROOM))));
    }

    /** Guards against a claim that ignores its eviction and asks for more. */
    @Test
    void anEvictedClaimGetsNothing() {
        ClaimId first = granted(CALLER, LARGE_ROOM);
        pass(1_000);
        ask(OTHER, MIB);
        pass(TICK_MS);
        taken();
        on(new BudgetInput.Ask(first, 1, WAIT_MS));
        assertThat(taken(), is(List.of(new BudgetEffect.Refused(first, BudgetEffect.Reason.EVICTED))));
    }

    /** Guards against bytes that are counted twice, or for the wrong origin, when an answer is passed on. */
    @Test
    void movedBytesBelongToTheOtherClaim() {
        ClaimId received = granted(CALLER, 40 * MIB);
        ClaimId sent = new ClaimId(++lastId);
        on(new BudgetInput.Open(sent, Holding.CALLER_ANSWER, OTHER, true));
        on(new BudgetInput.Move(received, sent));
        assertThat(taken(), is(empty()));
        assertThat(budget.grantedBytes(received), is(0L));
        assertThat(budget.grantedBytes(sent), is(40L * MIB));
        assertThat(budget.grantedBytes(Holding.REQUEST_BODY), is(0L));
        assertThat(budget.grantedBytes(Holding.CALLER_ANSWER), is(40L * MIB));
        ClaimId ofOther = ask(OTHER, 20 * MIB);
        ClaimId ofCaller = ask(CALLER, 20 * MIB);
        on(new BudgetInput.Release(received));
        assertThat(taken(), is(empty()));
        pass(500, sent);
        on(new BudgetInput.Release(sent));
        assertThat(taken(), is(List.of(new BudgetEffect.Granted(ofOther), new BudgetEffect.Granted(ofCaller))));
        assertThrows(IllegalStateException.class, () -> on(new BudgetInput.Move(ofCaller, ofOther)));
    }

    /** Guards against a claim that escapes its eviction by being passed on. */
    @Test
    void anEvictionFollowsTheBytes() {
        ClaimId received = granted(CALLER, LARGE_ROOM);
        pass(1_000);
        ask(OTHER, MIB);
        pass(TICK_MS);
        ClaimId sent = open(CALLER);
        taken();
        on(new BudgetInput.Move(received, sent));
        assertThat(taken(), is(List.of(new BudgetEffect.Evicted(sent))));
    }

    /** Guards against effects of inputs that come after the end of a claim. */
    @Test
    void anEndedClaimHasNoEffect() {
        ClaimId claim = granted(CALLER, MIB);
        on(new BudgetInput.Release(claim));
        on(new BudgetInput.Release(claim));
        on(new BudgetInput.Ask(claim, MIB, WAIT_MS));
        on(new BudgetInput.Progress(claim));
        on(new BudgetInput.Withdraw(claim));
        on(new BudgetInput.Move(claim, open(CALLER)));
        assertThat(taken(), is(empty()));
        assertThat(budget.grantedBytes(), is(0L));
    }

    /** Guards against requests that replace each other, and against a limit without room for large claims. */
    @Test
    void misuseIsReported() {
        granted(OTHER, LARGE_ROOM);
        ClaimId waits = ask(CALLER, MIB);
        assertThrows(
                IllegalStateException.class, () -> on(new BudgetInput.Ask(waits, MIB, WAIT_MS)), "asked while waiting");
        assertThrows(IllegalArgumentException.class, () -> on(new BudgetInput.Ask(open(CALLER), -1, 0)));
        assertThrows(IllegalArgumentException.class, () -> new ByteBudget(64 * KIB));
    }

    private static List<ClaimId> evicted(List<BudgetEffect> effects) {
        return effects.stream()
                .filter(BudgetEffect.Evicted.class::isInstance)
                .map(BudgetEffect::claim)
                .toList();
    }
}
