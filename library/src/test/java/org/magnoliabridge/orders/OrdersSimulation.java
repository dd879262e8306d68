package org.magnoliabridge.orders;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.magnoliabridge.external.EndpointOrder;
import org.magnoliabridge.external.MemoryStore;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.lease.LeaseCore;
import org.magnoliabridge.lease.LeaseCores;
import org.magnoliabridge.lease.LeaseEffect;
import org.magnoliabridge.lease.LeaseView;

/** Simulates three processes, an object store and an order API on a virtual clock, with faults at given effects. */
final class OrdersSimulation {
    static final ObjectKey LEASE = new ObjectKey("leases/endpoints");
    static final ObjectKey INTENTS = new ObjectKey("orders/endpoints");
    /** Time until which the desired states change; faults are injected before it. */
    static final long BUSY_MS = 22_000;

    private static final long LEASE_RELEASE_MS = 15_000;
    // Lease 10 s, first observation of it 3 s, takeover wait 2 s, list period 5 s, two calls of 2.5 s without reply.
    private static final long CONVERGENCE_MS = 25_000;
    private static final long LATENCY_MS = 5;
    private static final long CALL_DEADLINE_MS = 2_000;
    private static final long TICK_MS = 100;
    private static final long RESTART_MS = 3_000;

    final MemoryStore store = new MemoryStore();
    final Map<EndpointId, EndpointOrder> endpoints = new TreeMap<>();
    final Map<EndpointId, EndpointOrder> desired = new TreeMap<>();
    final List<SimulatedProcess> processes = new ArrayList<>();
    final boolean checksFencing;
    /** The kind of each effect, by its index. */
    final List<String> effectKinds = new ArrayList<>();
    /** The number of effects before {@link #BUSY_MS}. */
    int busyEffects;

    long nowMs;
    private long faultsEndMs = BUSY_MS;
    long staleOrdersSeen;
    private final String disabledMechanism;
    private final Map<Integer, Fault> plan;
    private final OrdersChecker checker;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private long sequence;
    private FencingToken highestFencing = new FencingToken(0);

    OrdersSimulation(boolean checksFencing, String mechanismOff, Map<Integer, Fault> plan) {
        this.checksFencing = checksFencing;
        this.disabledMechanism = mechanismOff;
        this.plan = plan;
        this.checker = new OrdersChecker(this);
    }

    /** Runs the whole scenario and returns the checker with its results. */
    OrdersChecker run() {
        for (int i = 0; i < 3; i++) {
            SimulatedProcess process = new SimulatedProcess("node-" + i);
            processes.add(process);
            at(i * 33L, process::start);
        }
        for (int i = 0; i < 3; i++) {
            setDesired(i, true);
        }
        for (int i = 0; i < 36; i++) {
            int step = i;
            at(4_000 + i * 500L, () -> setDesired(step % 3, step % 2 == 0));
        }
        at(
                LEASE_RELEASE_MS,
                () -> processes.stream()
                        .filter(p -> p.lease.view().held())
                        .findFirst()
                        .ifPresent(SimulatedProcess::releaseAndRestart));
        while (!events.isEmpty() && events.peek().atMs() <= faultsEndMs + CONVERGENCE_MS) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
            checker.afterStep();
        }
        checker.atEnd();
        return checker;
    }

    private void setDesired(int number, boolean running) {
        EndpointId id = new EndpointId("engine-" + number);
        desired.put(
                id,
                new EndpointOrder(
                        id, new DataCentre("trent"), new ServiceId("coachgen"), EndpointOrder.Kind.STANDARD, running));
        processes.forEach(p -> p.runWhenActive(p::passDesired));
    }

    private void at(long atMs, Runnable action) {
        events.add(new Event(atMs, sequence++, action));
    }

    private OrderOutcome executeOrder(SimulatedProcess from, OrdersEffect.Send send, long checkedMs) {
        if (checksFencing && highestFencing.isAfter(send.fencing())) {
            return OrderOutcome.STALE_FENCING;
        }
        highestFencing = send.fencing().isAfter(highestFencing) ? send.fencing() : highestFencing;
        endpoints.put(send.order().endpoint(), send.order());
        checker.onOrder(from.name + "/" + from.incarnation, send, nowMs - checkedMs);
        return OrderOutcome.ACCEPTED;
    }

    private record Event(long atMs, long sequence, Runnable action) {}

    /**
     * A request in transit.
     *
     * @param effect runs when the request arrives
     * @param reply receives the result
     * @param noAnswer the result if no answer arrives
     */
    private record Request<T>(String kind, Supplier<T> effect, Consumer<T> reply, T noAnswer) {
        String connection() {
            int space = kind.indexOf(' ');
            return space < 0 ? kind : kind.substring(0, space);
        }
    }

    /** A process that runs a {@link LeaseCore} and an {@link OrdersCore}. */
    final class SimulatedProcess {
        final String name;
        LeaseCore lease;
        OrdersCore orders;
        boolean alive;
        int incarnation;
        long pausedUntilMs;
        private final Map<String, Long> silentUntilMs = new HashMap<>();

        SimulatedProcess(String name) {
            this.name = name;
        }

        boolean mayAct() {
            return alive && nowMs >= pausedUntilMs;
        }

        private void start() {
            incarnation++;
            alive = true;
            lease = LeaseCores.without(disabledMechanism, LEASE, new NodeId(name), new Incarnation(incarnation), nowMs);
            lease.setCandidate(true);
            Set<OrdersMechanism> off = EnumSet.allOf(OrdersMechanism.class);
            off.removeIf(m -> !("orders " + m).equals(disabledMechanism));
            orders = new OrdersCore(INTENTS, name + "-" + incarnation, OrdersSettings.DEFAULT, off);
            passDesired();
            tick();
        }

        private void releaseAndRestart() {
            runWhenActive(() -> runLease(lease.release(nowMs)));
        }

        private void crash() {
            alive = false;
            at(nowMs + RESTART_MS, this::start);
        }

        private void tick() {
            runLease(lease.onTick(nowMs));
            runOrders(orders.on(nowMs, lease.view(), new OrdersInput.Tick()));
            later(TICK_MS, this::tick);
        }

        private void passDesired() {
            runOrders(orders.on(nowMs, lease.view(), new OrdersInput.DesiredEndpoints(desired)));
        }

        /** Runs an action as soon as the process is not paused; drops it if this incarnation has ended by then. */
        private void runWhenActive(Runnable action) {
            later(0, action);
        }

        private void later(long delayMs, Runnable action) {
            int scheduledIncarnation = incarnation;
            at(Math.max(nowMs + delayMs, pausedUntilMs), () -> {
                if (!alive || scheduledIncarnation != incarnation) {
                    return;
                }
                if (nowMs < pausedUntilMs) {
                    later(0, action);
                } else {
                    action.run();
                }
            });
        }

        private void runLease(List<LeaseEffect> effects) {
            for (LeaseEffect effect : effects) {
                if (effect instanceof LeaseEffect.Call call) {
                    request(new Request<>(
                            "lease " + kind(call.request()),
                            () -> StoreRunner.perform(store, call.request()),
                            r -> runLease(lease.onReply(nowMs, call.callId(), r)),
                            noAnswer(call.request())));
                } else if (effect instanceof LeaseEffect.Released) {
                    runWhenActive(this::crash);
                }
            }
        }

        private void runOrders(List<OrdersEffect> effects) {
            for (OrdersEffect effect : effects) {
                switch (effect) {
                    case OrdersEffect.Call call ->
                        request(new Request<>(
                                "intent " + kind(call.request()),
                                () -> StoreRunner.perform(store, call.request()),
                                r -> pass(new OrdersInput.StoreReplied(call.callId(), r)),
                                noAnswer(call.request())));
                    case OrdersEffect.ListEndpoints list ->
                        request(new Request<>(
                                "endpoint list",
                                () -> Optional.of(List.copyOf(endpoints.values())),
                                r -> pass(new OrdersInput.EndpointsListed(list.callId(), r)),
                                Optional.<List<EndpointOrder>>empty()));
                    case OrdersEffect.Send send -> send(send);
                    case OrdersEffect.StaleOrderSeen staleOrder -> staleOrdersSeen++;
                    case OrdersEffect.Superseded superseded -> {}
                    case OrdersEffect.Refused refused ->
                        throw new IllegalStateException("the simulated order API refuses no order");
                }
            }
        }

        private void pass(OrdersInput input) {
            runOrders(orders.on(nowMs, lease.view(), input));
        }

        private void send(OrdersEffect.Send send) {
            Fault fault = plan.get(effectKinds.size());
            long pauseMs =
                    fault != null && fault.kind() == Fault.Kind.PAUSED_BEFORE_LAST_CHECK ? fault.durationMs() : 0;
            // When the sender makes its last check, directly before it writes to the connection.
            long checkedMs = Math.max(nowMs, pausedUntilMs) + pauseMs;
            LeaseView view = lease.view();
            boolean allowed = view.maySend(checkedMs) && view.fencing().equals(send.fencing());
            boolean late = !allowed && !"orders LEASE_CHECK".equals(disabledMechanism);
            request(new Request<>(
                    "order",
                    () -> late ? OrderOutcome.NOT_SENT : executeOrder(this, send, checkedMs),
                    r -> pass(new OrdersInput.Sent(send.orderId(), r)),
                    OrderOutcome.UNKNOWN));
        }

        private <T> void request(Request<T> request) {
            Fault fault = plan.get(effectKinds.size());
            effectKinds.add(request.kind());
            busyEffects = nowMs < BUSY_MS ? effectKinds.size() : busyEffects;
            Fault.Kind kind = fault == null ? null : fault.kind();
            if (fault != null) {
                faultsEndMs = Math.max(faultsEndMs, nowMs + fault.durationMs() + RESTART_MS);
            }
            if (kind == Fault.Kind.CRASH_BEFORE) {
                crash();
            }
            if (!alive) {
                return;
            }
            if (kind == Fault.Kind.PAUSED_BEFORE_LAST_CHECK || kind == Fault.Kind.PAUSED_AFTER_LAST_CHECK) {
                pausedUntilMs = nowMs + fault.durationMs();
            }
            if (kind == Fault.Kind.SILENT) {
                silentUntilMs.put(request.connection(), nowMs + fault.durationMs());
            }
            long writtenMs = Math.max(nowMs, pausedUntilMs);
            boolean silent =
                    kind == Fault.Kind.SILENT || writtenMs < silentUntilMs.getOrDefault(request.connection(), 0L);
            if (silent) {
                later(
                        writtenMs + CALL_DEADLINE_MS - nowMs,
                        () -> request.reply().accept(request.noAnswer()));
                return;
            }
            long requestMs = kind == Fault.Kind.REQUEST_DELAYED ? fault.durationMs() : LATENCY_MS;
            at(writtenMs + requestMs, () -> deliver(request, kind, fault));
            if (kind == Fault.Kind.DUPLICATE) {
                at(writtenMs + requestMs + fault.durationMs(), () -> deliverDuplicate(request));
            }
            if (kind == Fault.Kind.REPLY_LOST) {
                later(
                        writtenMs + CALL_DEADLINE_MS - nowMs,
                        () -> request.reply().accept(request.noAnswer()));
            }
        }

        private <T> void deliverDuplicate(Request<T> request) {
            T unusedReply = request.effect().get();
            assert unusedReply != null;
        }

        private <T> void deliver(Request<T> request, Fault.Kind kind, Fault fault) {
            T result = request.effect().get();
            if (kind == Fault.Kind.CRASH_AFTER && alive) {
                crash();
            } else if (kind != Fault.Kind.REPLY_LOST) {
                long replyMs = kind == Fault.Kind.REPLY_DELAYED ? fault.durationMs() : LATENCY_MS;
                later(replyMs, () -> request.reply().accept(result));
            }
        }

        private String kind(StoreRequest request) {
            return request instanceof StoreRequest.Read ? "read" : "write";
        }

        private StoreReply noAnswer(StoreRequest request) {
            return request instanceof StoreRequest.Read ? new StoreReply.Unavailable() : new StoreReply.Unknown();
        }
    }
}
