package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreMessages;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoreRouteSelector;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.external.StoredObject;

/**
 * An object store that relays calls through another node while the store does not serve this node.
 *
 * <p>A write whose outcome is unknown is never repeated through the other path: its caller reads the object to find
 * the outcome.
 */
final class RelayedStore implements ObjectStore {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final int MAX_WATCH_FAILURES = 2;
    // Another node may die while the watch waits there, and the next one is asked only after its time limit.
    static final long MAX_RELAYED_WAIT_MS = 500;

    private final ObjectStore direct;
    private final AtomicInteger watchFailures = new AtomicInteger();
    private final StoreRouteSelector path;
    private final MonotonicClock clock;
    private volatile Optional<Relay> relay = Optional.empty();

    /** Makes calls through another node. */
    interface Relay {
        /** Makes a call; throws {@link PlatformException} if no node replied. */
        StoreMessages.Result call(StoreMessages.Call call, long waitMs) throws PlatformException;
    }

    private interface DirectCall<T> {
        T run() throws PlatformException;
    }

    private interface RelayedCall<T> {
        T run(Relay peer) throws PlatformException;
    }

    RelayedStore(ObjectStore direct, StoreRouteSelector path, MonotonicClock clock) {
        this.direct = direct;
        this.path = path;
        this.clock = clock;
    }

    /** Sets the relay once this node has joined the cluster; without a relay only direct calls are made. */
    void setRelay(Relay newRelay) {
        relay = Optional.of(newRelay);
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) throws PlatformException {
        return call(() -> direct.read(key), peer -> {
            StoreReply reply = reply(peer, new StoreRequest.Read(key));
            return switch (reply) {
                case StoreReply.Found found -> Optional.of(found.object());
                case StoreReply.NotFound absent -> Optional.empty();
                default -> throw failure(reply, key, ABSENT);
            };
        });
    }

    @Override
    public long write(ObjectKey key, long expectedVersion, byte[] value) throws PlatformException {
        return call(() -> direct.write(key, expectedVersion, value), peer -> {
            StoreReply reply = reply(peer, new StoreRequest.Write(key, expectedVersion, value));
            if (reply instanceof StoreReply.Written written) {
                return written.version();
            }
            throw failure(reply, key, expectedVersion);
        });
    }

    @Override
    public void delete(ObjectKey key, long expectedVersion) throws PlatformException {
        boolean done = call(
                () -> {
                    direct.delete(key, expectedVersion);
                    return true;
                },
                peer -> {
                    StoreReply reply = reply(peer, new StoreRequest.Delete(key, expectedVersion));
                    if (reply instanceof StoreReply.Written) {
                        return true;
                    }
                    throw failure(reply, key, expectedVersion);
                });
        LOG.atFine().log("object %s deleted: %b", key, done);
    }

    @Override
    public Listing list(String prefix) throws PlatformException {
        return call(() -> direct.list(prefix), peer -> listing(reply(peer, new StoreRequest.List(prefix))));
    }

    @Override
    public Listing listStale(String prefix) throws PlatformException {
        return call(() -> direct.listStale(prefix), peer -> listing(reply(peer, new StoreRequest.List(prefix))));
    }

    // Saves calls only, so it is not relayed.
    @Override
    public Listing nextStale(ObjectKey after) throws PlatformException {
        return call(() -> direct.nextStale(after), peer -> new Listing(ABSENT, List.of()));
    }

    @Override
    public Listing watch(String prefix, long sinceRevision, long waitMs) throws PlatformException {
        DirectCall<Listing> directWatch = () -> direct.watch(prefix, sinceRevision, waitMs);
        if (!path.isStoreUnavailable()) {
            return watchDirectly(directWatch);
        }
        return call(directWatch, peer -> {
            long relayedWaitMs = Math.min(waitMs, MAX_RELAYED_WAIT_MS);
            StoreMessages.Call watch = new StoreMessages.Call.Watch(prefix, sinceRevision, relayedWaitMs);
            return switch (peer.call(watch, relayedWaitMs)) {
                case StoreMessages.Result.TooOld tooOld -> throw new PlatformException.RevisionTooOld(sinceRevision);
                case StoreMessages.Result.Replied replied -> listing(replied.reply());
            };
        });
    }

    // The store may close a watch while it serves other calls, so only repeated failures count as unavailability.
    private Listing watchDirectly(DirectCall<Listing> watch) throws PlatformException {
        try {
            Listing changes = watch.run();
            watchFailures.set(0);
            return changes;
        } catch (PlatformException.Unavailable | PlatformException.RateLimited e) {
            if (watchFailures.incrementAndGet() >= MAX_WATCH_FAILURES) {
                turnedAway(e);
            }
            throw e;
        }
    }

    private <T> T call(DirectCall<T> direct, RelayedCall<T> relayed) throws PlatformException {
        Optional<Relay> currentRelay = relay;
        if (currentRelay.isPresent() && path.choose(clock.nowMs()) == StoreRouteSelector.Route.RELAYED) {
            return relayed.run(currentRelay.get());
        }
        try {
            T result = direct.run();
            served();
            return result;
        } catch (PlatformException.Unavailable | PlatformException.RateLimited e) {
            turnedAway(e);
            if (currentRelay.isEmpty()) {
                throw e;
            }
            return relayed.run(currentRelay.get());
        } catch (PlatformException.OutcomeUnknown e) {
            turnedAway(e);
            throw e;
        } catch (PlatformException e) {
            served();
            throw e;
        }
    }

    private void served() {
        if (path.storeServed()) {
            LOG.atInfo().log("object store serves this node again");
        }
    }

    private void turnedAway(PlatformException cause) {
        if (path.storeFailed(clock.nowMs())) {
            LOG.atWarning().withCause(cause).log(
                    "object store does not serve this node; relaying calls through other nodes");
        }
    }

    private static StoreReply reply(Relay peer, StoreRequest request) throws PlatformException {
        return switch (peer.call(new StoreMessages.Call.Request(request), 0)) {
            case StoreMessages.Result.Replied replied -> replied.reply();
            case StoreMessages.Result.TooOld tooOld ->
                throw new PlatformException.Malformed("the reply belongs to a watch", null);
        };
    }

    private static Listing listing(StoreReply reply) throws PlatformException {
        if (reply instanceof StoreReply.Listed listed) {
            return listed.listing();
        }
        throw new PlatformException.Unavailable("the other node could not list either", null);
    }

    private static PlatformException failure(StoreReply reply, ObjectKey key, long expectedVersion) {
        return switch (reply) {
            case StoreReply.Conflict conflict -> new PlatformException.VersionConflict(key, expectedVersion);
            case StoreReply.Unknown unknown ->
                new PlatformException.OutcomeUnknown("the other node got no answer either", null);
            default -> new PlatformException.Unavailable("the other node could not reach the store either", null);
        };
    }

    /** Performs a call of another node directly at the store. */
    static StoreMessages.Result perform(ObjectStore store, StoreMessages.Call call) {
        return switch (call) {
            case StoreMessages.Call.Request request ->
                new StoreMessages.Result.Replied(StoreRunner.perform(store, request.request()));
            case StoreMessages.Call.Watch watch -> watch(store, watch);
        };
    }

    private static StoreMessages.Result watch(ObjectStore store, StoreMessages.Call.Watch watch) {
        try {
            Listing changes = store.watch(watch.prefix(), watch.sinceRevision(), watch.waitMs());
            return new StoreMessages.Result.Replied(new StoreReply.Listed(changes));
        } catch (PlatformException.RevisionTooOld e) {
            return new StoreMessages.Result.TooOld();
        } catch (PlatformException e) {
            LOG.atInfo().withCause(e).log("relayed watch of prefix %s failed", watch.prefix());
            return new StoreMessages.Result.Replied(new StoreReply.Unavailable());
        }
    }
}
