package org.magnoliabridge.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Holds a budget to its rules over random orders of events. */
class ByteBudgetPropertyTest {
    private static final long LIMIT = ByteBudget.MIN_LIMIT_BYTES;
    private static final long LARGE_LIMIT = LIMIT - LIMIT / 8;
    private static final long TICK_MS = 50;
    private static final long MAX_WAIT_MS = 1_000;
    private static final int STEPS = 600;
    private static final int ORIGINS = 4;
    private static final List<Holding> HOLDINGS = List.of(Holding.values());

    private final ByteBudget budget = new ByteBudget(LIMIT);
    private final Map<ClaimId, Open> open = new HashMap<>();
    private final Set<ClaimId> evicted = new HashSet<>();
    private long nowMs;
    private long lastId;

    /** The test's own books about a claim. */
    private static final class Open {
        private long bytes;
        private long asked;
        private long askedMs;
        private long movedMs;
        private Holding holding = Holding.REQUEST_BODY;

        private long stallMs() {
            return holding == Holding.REQUEST_BODY || holding == Holding.BATCH_ITEMS ? 1_000 : 5_000;
        }
    }

    /** Guards against an order of events that breaks the limit, the small room, fairness of time or the books. */
    @Property(tries = 1_000)
    void keepsItsRulesInAnyOrder(@ForAll long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < STEPS; i++) {
            step(random);
            check();
        }
        for (ClaimId claim : List.copyOf(open.keySet())) {
            release(claim);
            check();
        }
        assertThat(budget.grantedBytes(), is(0L));
        assertThat(budget.waiting(), is(0));
        for (Holding holding : HOLDINGS) {
            assertThat(budget.grantedBytes(holding), is(0L));
        }
    }

    private void step(Random random) {
        List<ClaimId> claims = new ArrayList<>(open.keySet());
        claims.sort((a, b) -> Long.compare(a.value(), b.value()));
        int kind = claims.isEmpty() ? 0 : random.nextInt(10);
        if (kind < 2) {
            open(random);
            return;
        }
        ClaimId claim = claims.get(random.nextInt(claims.size()));
        if (kind < 5) {
            ask(claim, random);
        } else if (kind < 6) {
            open.get(claim).movedMs = nowMs;
            on(new BudgetInput.Progress(claim));
        } else if (kind < 7) {
            if (random.nextInt(3) == 0) {
                move(claim, random);
            } else {
                release(claim);
            }
        } else {
            nowMs += TICK_MS;
            on(new BudgetInput.Tick());
            checkWaits();
        }
    }

    private void open(Random random) {
        ClaimId claim = new ClaimId(++lastId);
        Open state = new Open();
        state.movedMs = nowMs;
        state.holding = HOLDINGS.get(random.nextInt(HOLDINGS.size()));
        open.put(claim, state);
        on(new BudgetInput.Open(claim, state.holding, "10.0.0." + random.nextInt(ORIGINS), random.nextInt(4) > 0));
    }

    private void ask(ClaimId claim, Random random) {
        Open state = open.get(claim);
        if (state.asked > 0) {
            return;
        }
        state.asked = 1L + random.nextInt(random.nextBoolean() ? 4_000 : 200_000);
        state.askedMs = nowMs;
        state.movedMs = nowMs;
        long waitMs = random.nextInt(4) == 0 ? 0 : MAX_WAIT_MS;
        on(new BudgetInput.Ask(claim, state.asked, waitMs));
        assertThat("does not wait", waitMs > 0 || state.asked == 0, is(true));
    }

    private void move(ClaimId from, Random random) {
        open(random);
        ClaimId to = new ClaimId(lastId);
        Open state = open.remove(from);
        evicted.remove(from);
        open.get(to).bytes = state.bytes;
        for (BudgetEffect effect : budget.on(nowMs, new BudgetInput.Move(from, to))) {
            assertThat(effect, is(new BudgetEffect.Evicted(to)));
            evicted.add(to);
        }
    }

    private void release(ClaimId claim) {
        open.remove(claim);
        evicted.remove(claim);
        on(new BudgetInput.Release(claim));
    }

    private void on(BudgetInput input) {
        int waiting = budget.waiting();
        for (BudgetEffect effect : budget.on(nowMs, input)) {
            Open state = open.get(effect.claim());
            switch (effect) {
                case BudgetEffect.Granted granted -> {
                    assertThat("granted what was asked for", state.asked > 0, is(true));
                    state.bytes += state.asked;
                    state.asked = 0;
                    state.movedMs = nowMs;
                }
                case BudgetEffect.Refused refused -> state.asked = 0;
                case BudgetEffect.Evicted gone -> {
                    assertThat("another one waits", waiting, is(greaterThanOrEqualTo(1)));
                    assertThat("without progress", nowMs - state.movedMs, is(greaterThanOrEqualTo(state.stallMs())));
                    assertThat("evicted once", evicted.add(gone.claim()), is(true));
                    state.asked = 0;
                }
            }
        }
    }

    private void check() {
        long sum = 0;
        long large = 0;
        for (Map.Entry<ClaimId, Open> entry : open.entrySet()) {
            long bytes = entry.getValue().bytes;
            assertThat(budget.grantedBytes(entry.getKey()), is(bytes));
            sum += bytes;
            large += bytes > ByteBudget.SMALL_BYTES ? bytes : 0;
        }
        assertThat(budget.grantedBytes(), is(sum));
        assertThat(sum, is(lessThanOrEqualTo(LIMIT)));
        assertThat("room of the small ones", large, is(lessThanOrEqualTo(LARGE_LIMIT)));
        int waiting = 0;
        for (Open state : open.values()) {
            if (state.asked > 0) {
                waiting++;
                checkHasNoRoom(state, sum, large);
            }
        }
        assertThat(budget.waiting(), is(waiting));
    }

    private static void checkHasNoRoom(Open state, long sum, long large) {
        long after = state.bytes + state.asked;
        long before = state.bytes > ByteBudget.SMALL_BYTES ? state.bytes : 0;
        boolean small = after <= ByteBudget.SMALL_BYTES;
        boolean fits = sum + state.asked <= LIMIT && (small || large - before + after <= LARGE_LIMIT);
        assertThat("waits although its bytes fit", fits, is(false));
    }

    private void checkWaits() {
        for (Open state : open.values()) {
            assertThat("bounded wait", state.asked == 0 || nowMs - state.askedMs < MAX_WAIT_MS, is(true));
        }
    }
}
