package org.magnoliabridge.edge;

/** Counts open requests, so that a shutdown can wait for them. Thread-safe. */
public final class DrainGate {
    private int open;
    private State state = State.ACCEPTING;

    /** Whether new requests are accepted. */
    public enum State {
        /** New requests are accepted. */
        ACCEPTING,
        /** New requests are refused as not run; open requests continue. */
        DRAINING,
        /** No request is open and none is accepted. */
        CLOSED
    }

    /** Counts a new request; returns false if it must be refused, in which case nothing is counted. */
    public synchronized boolean tryEnter() {
        if (state != State.ACCEPTING) {
            return false;
        }
        open++;
        return true;
    }

    /** Counts the end of a request. */
    public synchronized void exit() {
        open--;
        closeIfIdle();
        notifyAll();
    }

    /** Refuses new requests from now on. */
    public synchronized void drain() {
        if (state == State.ACCEPTING) {
            state = State.DRAINING;
        }
        closeIfIdle();
        notifyAll();
    }

    /**
     * Waits until no request is open.
     *
     * @return the number of requests that are still open after the time limit in milliseconds
     */
    public synchronized int awaitIdle(long limitMs) throws InterruptedException {
        long endNanos = System.nanoTime() + limitMs * 1_000_000;
        long leftMs = limitMs;
        while (open > 0 && leftMs > 0) {
            wait(leftMs);
            leftMs = (endNanos - System.nanoTime()) / 1_000_000;
        }
        return open;
    }

    /** Returns the state. */
    public synchronized State state() {
        return state;
    }

    /** Returns the number of open requests. */
    public synchronized int open() {
        return open;
    }

    private void closeIfIdle() {
        if (state == State.DRAINING && open == 0) {
            state = State.CLOSED;
        }
    }
}
