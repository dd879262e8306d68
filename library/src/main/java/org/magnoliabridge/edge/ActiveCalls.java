package org.magnoliabridge.edge;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliabridge.calls.Cancellation;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.keys.KeyTable;

/** The running calls, kept so that they can be cancelled when their key is withdrawn or the node stops. Thread-safe. */
public final class ActiveCalls {
    private final Map<Cancellation, Optional<KeyId>> calls = new ConcurrentHashMap<>();
    private volatile boolean stopped;

    /** Adds a call, which is cancelled at once after {@link #cancelAll}; it must be removed when it has ended. */
    public void add(Cancellation call, Optional<KeyId> key) {
        calls.put(call, key);
        if (stopped) {
            call.cancel(Cancellation.Reason.SHUTDOWN);
        }
    }

    /** Removes a call that has ended. */
    public void remove(Cancellation call) {
        calls.remove(call);
    }

    /** Cancels the calls whose key is no longer active; called after each change of the key table. */
    public void cancelWithInactiveKey(KeyTable keys) {
        calls.forEach((call, key) -> {
            if (key.isPresent() && !keys.isActive(key.get())) {
                call.cancel(Cancellation.Reason.KEY_WITHDRAWN);
            }
        });
    }

    /** Cancels all calls, also those that are added later; called when the drain limit is reached. */
    public void cancelAll() {
        stopped = true;
        calls.keySet().forEach(call -> call.cancel(Cancellation.Reason.SHUTDOWN));
    }
}
