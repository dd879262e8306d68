package org.magnoliabridge.memory;

/** The bytes that one request or answer holds of a node's memory; closing it returns them. Thread-safe. */
public interface MemoryClaim extends AutoCloseable {
    /** Is told what became of a claim; called on any thread, never while a lock is held, and must not block. */
    interface Owner {
        /** The bytes of the last {@link #request} are granted. */
        void granted();

        /** The bytes of the last {@link #request} are not granted in time, or never can be. */
        void refused();

        /**
         * The claim gives way to others: what it held must be dropped, and the claim closed. Called at most once, also
         * while nothing is requested.
         */
        void evicted();
    }

    /**
     * Asks for more bytes; the owner is told the outcome, possibly before this method returns. Only one request may be
     * open at a time.
     */
    void request(long bytes);

    /** Takes more bytes if there is room for them now; returns whether they were granted. */
    boolean tryTake(long bytes);

    /**
     * Takes more bytes, waiting for room on the calling thread.
     *
     * @param waitMs how long to wait for room, in milliseconds
     * @return whether they were granted
     */
    boolean take(long bytes, long waitMs) throws InterruptedException;

    /** Records that bytes of the request or answer arrived or were read, so that it does not count as stalled. */
    void progress();

    /** Returns the bytes that are granted. */
    long bytes();

    /** Returns all bytes; without effect after the first call. */
    @Override
    void close();
}
