package org.magnoliabridge.external;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import org.magnoliabridge.core.MonotonicClock;

/**
 * Decides whether a call that another thread is to make begins by its deadline or never.
 *
 * <p>The thread asks {@link #begin} before it makes the call, and the caller {@link #giveUp} when it stops waiting. The
 * first of them decides for both, so a call whose caller was told that it was not sent is not sent later.
 */
public final class CallStart {
    private enum State {
        WAITING,
        BEGUN,
        GIVEN_UP
    }

    private final MonotonicClock clock;
    private final long deadlineMs;
    private final Runnable onGivenUp;
    private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);

    /**
     * Creates the start of a call.
     *
     * @param deadlineMs time of the clock from which on the call must not begin
     * @param onGivenUp runs once if the call never begins, on the thread that decides so
     */
    public CallStart(MonotonicClock clock, long deadlineMs, Runnable onGivenUp) {
        this.clock = Objects.requireNonNull(clock);
        this.deadlineMs = deadlineMs;
        this.onGivenUp = Objects.requireNonNull(onGivenUp);
    }

    /** Begins the call; returns false if it was given up or its deadline has passed, and then it must not be made. */
    public boolean begin() {
        if (clock.nowMs() >= deadlineMs) {
            giveUp();
        }
        return state.compareAndSet(State.WAITING, State.BEGUN);
    }

    /** Gives the call up unless it has begun; returns whether it never begins. */
    public boolean giveUp() {
        if (state.compareAndSet(State.WAITING, State.GIVEN_UP)) {
            onGivenUp.run();
        }
        return state.get() == State.GIVEN_UP;
    }
}
