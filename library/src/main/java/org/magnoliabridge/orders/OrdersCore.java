package org.magnoliabridge.orders;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.lease.LeaseView;

/**
 * Orders endpoints into their desired state under a lease; each order is recorded as an intent before it is sent.
 *
 * <p>Only one batch of orders is in progress at a time. The write that records the next batch, or an empty one, removes
 * the intents of the last batch. If an outcome is unknown, the core first waits until the order can no longer take
 * effect and reads the endpoint list. A new lease holder reads the intents and the list before it sends any order.
 *
 * <pre>{@code
 * OrdersCore orders = new OrdersCore(new ObjectKey("orders/endpoints"), node + "-" + incarnation, DEFAULT);
 * List<OrdersEffect> effects = orders.on(clock.nowMs(), lease.view(), new OrdersInput.Tick());
 * }</pre>
 */
public final class OrdersCore {
    // Store and list calls have their own, shorter deadline; this timeout covers a reply that never arrives.
    private static final long REPLY_TIMEOUT_MS = 2_500;

    private final ObjectKey key;
    private final String writerId;
    private final OrdersSettings settings;
    private final Set<OrdersMechanism> disabled;

    private final Map<EndpointId, EndpointOrder> desired = new TreeMap<>();
    private final Map<EndpointId, EndpointOrder> actual = new HashMap<>();
    private final Map<EndpointId, EndpointOrder> accepted = new HashMap<>();
    private final Map<EndpointId, Long> retryAtMs = new HashMap<>();
    private final List<OrdersEffect> effects = new ArrayList<>();
    private Phase phase = Phase.INACTIVE;
    private FencingToken epoch = LeaseView.NOT_HELD.fencing();
    private OrderIntents stored = OrderIntents.EMPTY;
    private long storedVersion = ObjectStore.ABSENT;
    /** Whether this holder has written the intents object under its current fencing token. */
    private boolean claimed;

    private Optional<OrderIntents> pendingWrite = Optional.empty();
    private Batch batch = new Batch(0);
    private long nextCallId = 1;
    private long callId;
    private long callSentMs;
    private long notBeforeMs;
    private long nextListMs;

    /**
     * Creates a core that waits for the lease.
     *
     * @param writerId id of one start of this process, for example node and incarnation; unique over all writers
     */
    public OrdersCore(ObjectKey key, String writerId, OrdersSettings settings) {
        this(key, writerId, settings, EnumSet.noneOf(OrdersMechanism.class));
    }

    OrdersCore(ObjectKey key, String writerId, OrdersSettings settings, Set<OrdersMechanism> disabled) {
        this.key = Objects.requireNonNull(key);
        this.writerId = Objects.requireNonNull(writerId);
        this.settings = Objects.requireNonNull(settings);
        this.disabled = Set.copyOf(disabled);
    }

    private enum Phase {
        INACTIVE,
        READ,
        READING,
        LIST,
        LISTING,
        READY,
        WRITING,
        SENDING,
        SUPERSEDED
    }

    /** Handles an input under the current lease and returns the resulting effects. */
    public List<OrdersEffect> on(long nowMs, LeaseView lease, OrdersInput input) {
        followLease(nowMs, lease);
        switch (input) {
            case OrdersInput.Tick tick -> checkReplyTimeout(nowMs);
            case OrdersInput.DesiredEndpoints all -> replaceDesired(all);
            case OrdersInput.StoreReplied replied -> onStoreReply(nowMs, lease, replied);
            case OrdersInput.EndpointsListed listed -> onList(nowMs, listed);
            case OrdersInput.Sent sent -> onSent(nowMs, sent);
        }
        continuePhase(nowMs, lease);
        List<OrdersEffect> taken = List.copyOf(effects);
        effects.clear();
        return taken;
    }

    private void followLease(long nowMs, LeaseView lease) {
        if (!lease.held() && !isDisabled(OrdersMechanism.LEASE_CHECK)) {
            phase = Phase.INACTIVE;
        } else if (lease.held() && (phase == Phase.INACTIVE || !lease.fencing().equals(epoch))) {
            epoch = lease.fencing();
            phase = Phase.READ;
            notBeforeMs = nowMs;
            claimed = false;
            pendingWrite = Optional.empty();
            batch = new Batch(0);
            actual.clear();
            accepted.clear();
            retryAtMs.clear();
        }
    }

    private void replaceDesired(OrdersInput.DesiredEndpoints all) {
        desired.clear();
        desired.putAll(all.endpoints());
    }

    private boolean mayAct(long nowMs, LeaseView lease) {
        return lease.maySend(nowMs) || isDisabled(OrdersMechanism.LEASE_CHECK);
    }

    private void checkReplyTimeout(long nowMs) {
        boolean callOpen = phase == Phase.READING || phase == Phase.LISTING || phase == Phase.WRITING;
        if (callOpen && nowMs - callSentMs >= REPLY_TIMEOUT_MS) {
            retryAfterFailure(nowMs);
        }
    }

    // A write without an answer may have taken effect, so the intents are read again before any other call.
    private void retryAfterFailure(long nowMs) {
        phase = phase == Phase.LISTING ? Phase.LIST : Phase.READ;
        notBeforeMs = nowMs + settings.retryMs();
    }

    private void continuePhase(long nowMs, LeaseView lease) {
        if (!mayAct(nowMs, lease) || nowMs < notBeforeMs) {
            return;
        }
        switch (phase) {
            case READ -> call(nowMs, Phase.READING, new StoreRequest.Read(key));
            case LIST -> requestList(nowMs);
            case READY -> startBatch(nowMs);
            case SENDING -> finishBatch(nowMs);
            default -> {}
        }
    }

    private void startBatch(long nowMs) {
        if (nowMs >= nextListMs) {
            requestList(nowMs);
            return;
        }
        List<EndpointOrder> orders = ordersDue(nowMs);
        if (orders.isEmpty() && stored.intents().isEmpty() && claimed) {
            return;
        }
        List<OrderIntents.Intent> intents = new ArrayList<>();
        for (EndpointOrder order : orders) {
            intents.add(new OrderIntents.Intent(epoch + "-" + writerId + "-" + nextCallId++, order));
        }
        OrderIntents next = new OrderIntents(epoch, writerId + "-" + nextCallId, intents);
        if (isDisabled(OrdersMechanism.INTENT)) {
            claimed = true;
            sendBatch(nowMs, intents);
            return;
        }
        pendingWrite = Optional.of(next);
        call(nowMs, Phase.WRITING, new StoreRequest.Write(key, storedVersion, next.encode()));
    }

    private List<EndpointOrder> ordersDue(long nowMs) {
        return desired.values().stream()
                .filter(o -> retryAtMs.getOrDefault(o.endpoint(), nowMs) <= nowMs)
                .filter(o -> !o.equals(actual.get(o.endpoint())))
                .filter(o -> o.running() || actual.containsKey(o.endpoint()))
                .limit(settings.maxBatch())
                .toList();
    }

    private void call(long nowMs, Phase next, StoreRequest request) {
        phase = next;
        callId = nextCallId++;
        callSentMs = nowMs;
        effects.add(new OrdersEffect.Call(callId, request));
    }

    private void requestList(long nowMs) {
        phase = Phase.LISTING;
        callId = nextCallId++;
        callSentMs = nowMs;
        effects.add(new OrdersEffect.ListEndpoints(callId));
    }

    private void onStoreReply(long nowMs, LeaseView lease, OrdersInput.StoreReplied replied) {
        if (replied.callId() != callId || (phase != Phase.READING && phase != Phase.WRITING)) {
            return;
        }
        switch (replied.reply()) {
            case StoreReply.Found found -> onFound(nowMs, lease, found);
            case StoreReply.NotFound absent -> adoptStored(nowMs, lease, OrderIntents.EMPTY, ObjectStore.ABSENT);
            case StoreReply.Written written -> adoptStored(nowMs, lease, pendingWrite.orElseThrow(), written.version());
            case StoreReply.Conflict conflict -> rereadIntents(nowMs);
            case StoreReply.Unknown unknown -> onUnknownOutcome(nowMs, lease);
            case StoreReply.Unavailable unavailable -> retryAfterFailure(nowMs);
            case StoreReply.Listed listed ->
                throw new IllegalStateException("the store replied with a listing to a read or write");
        }
    }

    private void rereadIntents(long nowMs) {
        phase = Phase.READ;
        notBeforeMs = nowMs;
    }

    private void onUnknownOutcome(long nowMs, LeaseView lease) {
        if (isDisabled(OrdersMechanism.READ_BACK) && pendingWrite.isPresent()) {
            adoptStored(nowMs, lease, pendingWrite.get(), storedVersion);
        } else {
            rereadIntents(nowMs);
        }
    }

    private void onFound(long nowMs, LeaseView lease, StoreReply.Found found) {
        Optional<OrderIntents> read = OrderIntents.decode(found.object().value());
        if (read.isPresent() && read.get().fencing().isAfter(epoch)) {
            phase = Phase.SUPERSEDED;
            effects.add(new OrdersEffect.Superseded(epoch));
            return;
        }
        // Malformed intents are overwritten; the endpoint list shows whether their orders took effect.
        adoptStored(
                nowMs, lease, read.orElse(OrderIntents.EMPTY), found.object().version());
    }

    private void adoptStored(long nowMs, LeaseView lease, OrderIntents current, long version) {
        boolean own =
                pendingWrite.filter(p -> p.writer().equals(current.writer())).isPresent();
        stored = current;
        storedVersion = version;
        pendingWrite = Optional.empty();
        if (!own) {
            phase = Phase.LIST;
            notBeforeMs = nowMs;
        } else {
            claimed = true;
            phase = Phase.READY;
            if (!current.intents().isEmpty() && mayAct(nowMs, lease)) {
                sendBatch(nowMs, current.intents());
            }
        }
    }

    private void sendBatch(long nowMs, List<OrderIntents.Intent> intents) {
        phase = Phase.SENDING;
        batch = new Batch(nowMs);
        for (OrderIntents.Intent intent : intents) {
            // The desired state may have changed while the intent was written.
            if (intent.order().equals(desired.get(intent.order().endpoint()))) {
                batch.unsettled.put(intent.orderId(), intent.order());
                accepted.remove(intent.order().endpoint());
                effects.add(new OrdersEffect.Send(intent.orderId(), intent.order(), epoch));
            }
        }
    }

    private void onSent(long nowMs, OrdersInput.Sent sent) {
        EndpointOrder order = batch.unsettled.get(sent.orderId());
        if (phase != Phase.SENDING || order == null) {
            return;
        }
        switch (sent.outcome()) {
            case ACCEPTED -> {
                batch.unsettled.remove(sent.orderId());
                actual.put(order.endpoint(), order);
                accepted.put(order.endpoint(), order);
            }
            case NOT_SENT -> scheduleRetry(nowMs, sent.orderId(), order);
            case REFUSED -> {
                scheduleRetry(nowMs, sent.orderId(), order);
                effects.add(new OrdersEffect.Refused(order.endpoint()));
            }
            case UNKNOWN -> {} // stays unsettled until its send deadline
            case STALE_FENCING -> {
                phase = Phase.SUPERSEDED;
                effects.add(new OrdersEffect.Superseded(epoch));
            }
            default -> throw new IllegalStateException("unexpected order outcome: " + sent.outcome());
        }
    }

    // A refusal may persist, for example while a data centre has no room, so it must not delay other orders.
    private void scheduleRetry(long nowMs, String orderId, EndpointOrder order) {
        batch.unsettled.remove(orderId);
        retryAtMs.put(order.endpoint(), nowMs + settings.listPeriodMs());
    }

    // An order with an unknown outcome can take effect until its send deadline; only after that is the list conclusive.
    private void finishBatch(long nowMs) {
        if (!batch.unsettled.isEmpty() && nowMs - batch.sentMs < settings.sendDeadlineMs()) {
            return;
        }
        boolean unknown = !batch.unsettled.isEmpty();
        batch = new Batch(0);
        phase = Phase.READY;
        if (unknown) {
            requestList(nowMs);
        } else {
            startBatch(nowMs);
        }
    }

    private void onList(long nowMs, OrdersInput.EndpointsListed listed) {
        if (listed.callId() != callId || phase != Phase.LISTING) {
            return;
        }
        if (listed.endpoints().isEmpty()) {
            retryAfterFailure(nowMs);
            return;
        }
        actual.clear();
        for (EndpointOrder order : listed.endpoints().get()) {
            actual.put(order.endpoint(), order);
        }
        accepted.forEach((endpoint, order) -> {
            if (!order.equals(actual.get(endpoint))) {
                effects.add(new OrdersEffect.StaleOrderSeen(endpoint));
            }
        });
        accepted.clear();
        phase = Phase.READY;
        nextListMs = nowMs + settings.listPeriodMs();
    }

    private boolean isDisabled(OrdersMechanism mechanism) {
        return disabled.contains(mechanism);
    }

    /** Orders that were sent together; {@code unsettled} holds those without an outcome yet. */
    private static final class Batch {
        final Map<String, EndpointOrder> unsettled = new HashMap<>();
        final long sentMs;

        Batch(long sentMs) {
            this.sentMs = sentMs;
        }
    }
}
