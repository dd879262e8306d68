package org.magnoliabridge.external;

import java.util.Objects;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;

/**
 * Watches a prefix of the object API on its own virtual thread until it is closed.
 *
 * <p>It lists once, then polls for changes from the last revision that it has seen, so no change is missed between two
 * polls or after a failure. When the store no longer knows the changes since that revision, it lists again.
 */
public final class ObjectWatch implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ObjectWatch.class.getName());
    private static final long FIRST_BACKOFF_MS = 200;
    private static final long MAX_BACKOFF_MS = 5_000;
    private static final long NO_REVISION = -1;

    private final ObjectStore store;
    private final String prefix;
    private final Times times;
    private final Listener listener;
    private final Backoff backoff;
    private final Thread thread;
    private volatile boolean closed;

    /**
     * Times of a watch, in milliseconds.
     *
     * @param waitMs longest wait of one poll; also the period at which the listener is told that nothing changed
     * @param pauseMs pause after a poll that found changes; the next poll returns all changes made during it, so
     *     that a burst of changes costs one call
     * @param maxBackoffMs longest pause after a failed poll
     */
    public record Times(long waitMs, long pauseMs, long maxBackoffMs) {}

    /** Starts a watch that does not pause after changes. */
    public ObjectWatch(ObjectStore store, String prefix, long waitMs, Listener listener, RandomGenerator random) {
        this(store, prefix, new Times(waitMs, 0, MAX_BACKOFF_MS), listener, random);
    }

    /**
     * Starts a watch.
     *
     * @param store must end every call by a deadline, as {@link BudgetedStore} does, so that an unresponsive
     *     watch is detected
     */
    public ObjectWatch(ObjectStore store, String prefix, Times times, Listener listener, RandomGenerator random) {
        this.store = Objects.requireNonNull(store);
        this.prefix = Objects.requireNonNull(prefix);
        this.times = Objects.requireNonNull(times);
        this.listener = Objects.requireNonNull(listener);
        this.backoff = new Backoff(Math.min(FIRST_BACKOFF_MS, times.maxBackoffMs()), times.maxBackoffMs(), random);
        this.thread = Thread.ofVirtual().name("watch-" + prefix).start(this::run);
    }

    /** Stops the watch; the listener may still be called once. */
    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        long revision = NO_REVISION;
        while (!closed) {
            try {
                revision = poll(revision);
                backoff.reset();
            } catch (PlatformException.RevisionTooOld e) {
                revision = NO_REVISION;
            } catch (RuntimeException | StackOverflowError e) {
                // The listener may not have processed the changes of this poll, so everything is listed again.
                LOG.log(Level.SEVERE, "listener of the watch on " + prefix + " failed", e);
                revision = NO_REVISION;
                pause(backoff.nextDelayMs());
            } catch (PlatformException e) {
                if (!closed) {
                    listener.failed(e);
                    pause(backoff.nextDelayMs());
                }
            }
        }
    }

    private long poll(long revision) throws PlatformException {
        if (revision == NO_REVISION) {
            ObjectStore.Listing all = store.list(prefix);
            listener.listed(all);
            return all.revision();
        }
        ObjectStore.Listing changes = store.watch(prefix, revision, times.waitMs());
        // A lower revision than before means that the store lost history, so its changes may be incomplete.
        if (changes.revision() < revision) {
            return NO_REVISION;
        }
        listener.changed(changes);
        if (!changes.entries().isEmpty()) {
            pause(times.pauseMs());
        }
        return changes.revision();
    }

    private void pause(long ms) {
        if (ms <= 0) {
            return;
        }
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            if (!closed) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Receives the results of a watch; called on the thread of the watch. */
    public interface Listener {
        /** Receives all keys under the prefix; keys that are not listed no longer exist. */
        void listed(ObjectStore.Listing all);

        /** Receives the changes since the last call; an empty listing means that there were none. */
        void changed(ObjectStore.Listing changes);

        /** Called after a failed poll; the watch retries after a delay. */
        void failed(PlatformException cause);
    }
}
