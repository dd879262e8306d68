package org.magnoliabridge.calls;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Cancels a running call from any thread; only the first reason counts. */
public final class Cancellation {
    private final List<Runnable> listeners = new ArrayList<>();
    private Reason reason;

    /** Why a call is cancelled. */
    public enum Reason {
        /** The caller closed its connection. */
        CALLER_GONE,
        /** The caller's key was withdrawn. */
        KEY_WITHDRAWN,
        /** Another attempt has already delivered the result. */
        SUPERSEDED,
        /** The node is shutting down and its drain limit has passed. */
        SHUTDOWN
    }

    /** A listener's registration; closing it removes the listener. */
    public interface Registration extends AutoCloseable {
        @Override
        void close();
    }

    /** Blocking work that an interrupt can end. */
    @FunctionalInterface
    interface Work<T> {
        /** Runs the work; an interrupt ends its blocking waits. */
        T run() throws CallException;
    }

    /** Work that waits, and that ends early when its thread is interrupted. */
    @FunctionalInterface
    public interface Waiting<T> {
        /** Runs the work. */
        T run() throws InterruptedException;
    }

    /** Interrupts the thread that creates it when the call is cancelled, until it is closed. */
    private final class Interrupter {
        private final Thread thread = Thread.currentThread();
        private final Registration registration;
        private boolean closed;

        Interrupter(Set<Reason> reasons) {
            registration = onCancel(() -> interruptFor(reasons));
        }

        private synchronized void interruptFor(Set<Reason> reasons) {
            if (!closed && reason().filter(reasons::contains).isPresent()) {
                thread.interrupt();
            }
        }

        // Clears the interrupt status, so that it does not affect the next work on this thread.
        synchronized void close() {
            closed = true;
            registration.close();
            Thread.interrupted();
        }
    }

    /** Runs work on the current thread, which is interrupted if the call is cancelled. */
    <T> T runInterruptibly(Work<T> work) throws CallException {
        Interrupter interrupter = new Interrupter(EnumSet.allOf(Reason.class));
        try {
            return work.run();
        } finally {
            interrupter.close();
        }
    }

    /**
     * Runs work on the current thread, which is interrupted if the node shuts down. A caller that leaves does not end
     * the work, because others may wait for its result.
     *
     * @return empty if the shutdown ended the work
     */
    public <T> Optional<T> runUntilShutdown(Waiting<T> work) {
        Interrupter interrupter = new Interrupter(EnumSet.of(Reason.SHUTDOWN));
        try {
            return Optional.of(work.run());
        } catch (InterruptedException e) {
            return Optional.empty();
        } finally {
            interrupter.close();
        }
    }

    /** Cancels the call and runs the listeners on the current thread; does nothing if it is already cancelled. */
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

    /** Returns the reason; empty if the call is not cancelled. */
    public synchronized Optional<Reason> reason() {
        return Optional.ofNullable(reason);
    }

    /** Registers a listener that must not block; it runs immediately if the call is already cancelled. */
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

    /** Returns the failure to report for a reason. */
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
