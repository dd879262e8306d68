package org.magnoliabridge.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Tells a running call to stop, from any thread; the first reason wins. */
public final class Cancellation {
    private final List<Runnable> listeners = new ArrayList<>();
    private Reason reason;

    /** Why a call is stopped. */
    public enum Reason {
        /** The caller closed its connection. */
        CALLER_GONE,
        /** The caller's key was withdrawn. */
        KEY_WITHDRAWN,
        /** Another attempt has given the answer. */
        SUPERSEDED,
        /** The drain limit is reached. */
        SHUTDOWN
    }

    /** A listener's registration; closing it removes the listener. */
    public interface Registration extends AutoCloseable {
        @Override
        void close();
    }

    /** Work that may be stopped. */
    @FunctionalInterface
    interface Work<T> {
        /** Runs the work; an interrupt ends its waits. */
        T run() throws CallException;
    }

    /** Runs work on this thread, which is interrupted when the call is stopped. */
    <T> T runInterruptibly(Work<T> work) throws CallException {
        Thread caller = Thread.currentThread();
        Registration registration = onCancel(caller::interrupt);
        try {
            return work.run();
        } finally {
            registration.close();
            // The interrupt has ended a wait of this call and must not end one of its thread's next work.
            Thread.interrupted();
        }
    }

    /** Stops the call and runs the listeners on this thread; a repeat does nothing. */
    public void cancel(Reason why) {
        List<Runnable> toRun;
        synchronized (this) {
            if (reason != null) {
                return;
            }
            reason = why;
            toRun = List.copyOf(listeners);
        }
        toRun.forEach(Runnable::run);
    }

    /** Returns the reason; empty while the call may go on. */
    public synchronized Optional<Reason> reason() {
        return Optional.ofNullable(reason);
    }

    /** Registers a listener that must not block; it runs at once if the call is already stopped. */
    public Registration onCancel(Runnable listener) {
        synchronized (this) {
            if (reason == null) {
                listeners.add(listener);
                return () -> remove(listener);
            }
        }
        listener.run();
        return () -> {};
    }

    /** Returns the failure that stands for a reason. */
    public static Failure failure(Reason reason) {
        return switch (reason) {
            case CALLER_GONE, SUPERSEDED -> new Failure.CallerGone();
            case KEY_WITHDRAWN -> new Failure.Unauthenticated();
            case SHUTDOWN -> new Failure.Draining();
        };
    }

    private synchronized void remove(Runnable listener) {
        listeners.remove(listener);
    }
}
