package org.magnoliabridge.external;

import java.util.function.Consumer;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.external.StoreRequest.Priority;

/** Runs the store requests of decision cores on virtual threads and posts the replies to the control loop. */
public final class StoreRunner {
    private final BudgetedStore budget;
    private final ControlLoop loop;
    private final BudgetedStore.Threads threads;

    public StoreRunner(BudgetedStore budget, ControlLoop loop) {
        this(budget, loop, BudgetedStore.Threads.VIRTUAL);
    }

    StoreRunner(BudgetedStore budget, ControlLoop loop, BudgetedStore.Threads threads) {
        this.budget = budget;
        this.loop = loop;
        this.threads = threads;
    }

    /** Starts a request, whose deadline counts from now; the reply is passed to the consumer on the control thread. */
    public void run(StoreRequest request, Priority priority, Consumer<StoreReply> reply) {
        // The core that sent the request does not wait longer because the thread starts late.
        ObjectStore store = budget.fromNow(priority);
        threads.start("store-request", () -> {
            StoreReply answer = perform(store, request);
            loop.post(() -> reply.accept(answer));
        });
    }

    /** Performs a request on this thread and returns the reply; failures become replies, never exceptions. */
    public static StoreReply perform(ObjectStore store, StoreRequest request) {
        try {
            return switch (request) {
                case StoreRequest.Read read ->
                    store.read(read.key())
                            .<StoreReply>map(StoreReply.Found::new)
                            .orElseGet(StoreReply.NotFound::new);
                case StoreRequest.Write write ->
                    new StoreReply.Written(store.write(write.key(), write.expectedVersion(), write.value()));
                case StoreRequest.Delete delete -> {
                    store.delete(delete.key(), delete.expectedVersion());
                    yield new StoreReply.Written(0);
                }
                case StoreRequest.List list -> new StoreReply.Listed(store.list(list.prefix()));
            };
        } catch (PlatformException.VersionConflict e) {
            return new StoreReply.Conflict();
        } catch (PlatformException.OutcomeUnknown e) {
            return new StoreReply.Unknown();
        } catch (PlatformException e) {
            return new StoreReply.Unavailable();
        } catch (RuntimeException e) {
            // The call may have been sent before the failure, so only a read certainly took no effect.
            return request instanceof StoreRequest.Read || request instanceof StoreRequest.List
                    ? new StoreReply.Unavailable()
                    : new StoreReply.Unknown();
        }
    }
}
