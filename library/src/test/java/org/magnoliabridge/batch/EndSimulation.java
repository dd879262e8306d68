package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.magnoliabridge.batch.BatchMessages.EndRequest;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.gateway.BatchTerms;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.sim.SimStore;

/**
 * Simulates three nodes on virtual time that accept, run and end batches, with random faults: lost, late and repeated
 * messages, store calls that time out at one node or at all, a runner that is replaced, and late control threads.
 */
final class EndSimulation extends RandomFaults {
    private static final int NODES = 3;
    private static final int BATCHES = 8;
    private static final int ITEMS = 6;
    private static final long END_MS = 60_000;
    private static final long LAST_SUBMISSION_MS = 25_000;
    private static final long STORE_DEADLINE_MS = 1_600;
    private static final long CALLER_DEADLINE_MS = 4_000;
    private static final long TELL_TIMEOUT_MS = 500;
    private static final long TELL_RUNNER_MS = 4_000;
    private static final long TELL_UNSTORED_AFTER_MS = 100;
    private static final long TELL_UNSTORED_PERIOD_MS = 1_000;
    private static final long MAX_HOLD_MS = 400;
    private static final long CONNECT_MS = 400;
    private static final double LOSS = 0.3;

    /** What keeps items of ended batches from being sent; a test switches one off. */
    enum Mechanism {
        /** A run asks the gate just before it is sent. */
        GATE,
        /** The runner reads ends from the store. */
        CHECKS,
        /** A check that fails counts only if no node reaches the store. */
        FAILED_CHECK_IS_CONFIRMED,
        /** The runner is told of an end that is not stored. */
        UNSTORED_END_IS_TOLD,
        /** A node that was told of an end that is not stored does not open the batch later. */
        REQUESTED_END_IS_REMEMBERED,
        /** All nodes are told of an end that is not stored, because any of them may become the runner. */
        ALL_NODES_ARE_TOLD,
        /** An end is retried after its caller has been answered. */
        END_IS_RETRIED
    }

    private final Set<Mechanism> mechanisms;
    private final EndChecker checker;
    private final SimStore store = new SimStore();
    private final List<Node> nodes = new ArrayList<>();
    // In half of the runs one node gets neither messages nor replies of the store for a while. In the others the store
    // does not serve some nodes, or none. An end that can reach neither the store nor the runner cannot be carried out.
    private final int cutOff;
    private final Window outage;
    private int runner;

    EndSimulation(long seed, Set<Mechanism> mechanisms, EndChecker checker) {
        super(seed);
        this.mechanisms = mechanisms;
        this.checker = checker;
        cutOff = random.nextInt(2 * NODES);
        outage = window(cutOff < NODES ? 0 : 0.3, END_MS / 2, 12_000);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(i));
        }
    }

    void run() {
        nodes.forEach(Node::start);
        nodes.getFirst().setActive(true);
        for (int i = 0; i < BATCHES; i++) {
            schedule("b" + i);
        }
        for (int i = random.nextInt(3); i > 0; i--) {
            at(random.nextLong(END_MS), this::replaceRunner);
        }
        runUntil(END_MS);
    }

    private void schedule(String id) {
        long submitMs = random.nextLong(LAST_SUBMISSION_MS);
        long endMs = submitMs + 500 + random.nextLong(10_000);
        at(submitMs, () -> node().submit(head(id)));
        at(endMs, () -> {
            checker.endAsked(id, now);
            Node front = node();
            front.end(new BatchId(id), now + CALLER_DEADLINE_MS, () -> checker.endConfirmed(id, now));
        });
    }

    private Node node() {
        return nodes.get(random.nextInt(NODES));
    }

    // The node before notices late, so that two nodes run the batches for a while.
    private void replaceRunner() {
        Node before = nodes.get(runner);
        runner = (runner + 1 + random.nextInt(NODES - 1)) % NODES;
        Node after = nodes.get(runner);
        after.control(() -> after.setActive(true));
        at(now + random.nextLong(1_000), () -> before.control(() -> before.setActive(before.number == runner)));
    }

    private BatchHead head(String id) {
        return new BatchHead(
                new BatchId(id),
                Batches.TEAM,
                Batches.ROUTE,
                Batches.CONFIG_VERSION,
                "rollouts.example",
                Optional.of(Batches.MODEL),
                Optional.empty(),
                1,
                new BatchTerms(7_500, 10 * END_MS, false),
                3,
                0,
                ITEMS,
                1,
                false);
    }

    private boolean has(Mechanism mechanism) {
        return mechanisms.contains(mechanism);
    }

    // Delivers a message to the control thread of a node: not at all, once or twice, and sometimes late.
    private void send(Node to, Runnable delivery) {
        if (to.isCutOff()) {
            return;
        }
        if (random.nextDouble() >= LOSS) {
            after(delayMs(1_000), () -> to.control(delivery));
        }
        if (random.nextDouble() < 0.1) {
            after(delayMs(3_000), () -> to.control(delivery));
        }
    }

    /** A node as the daemons run it: a core, its gate, checks of the store and a control thread that may be late. */
    private final class Node {
        private final int number;
        private final BatchCore core;
        private final StartGate gate = new StartGate();
        private final Window storeDown;
        private final Window controlLate = window(0.4, END_MS / 2, 3_000);
        private final Map<ItemRunId, boolean[]> runs = new HashMap<>();
        private final Set<BatchId> retried = new HashSet<>();
        private boolean active;

        Node(int number) {
            this.number = number;
            double cutOffOrNot = number == cutOff ? 1 : 0;
            storeDown = window(cutOff < NODES ? cutOffOrNot : 0.5, END_MS / 2, 15_000);
            core = new BatchCore("n" + number + "-1", () -> now, process -> false);
        }

        void start() {
            handle(new BatchInput.Routes(Batches.CONFIG_VERSION, Map.of(Batches.ROUTE, Batches.TARGET)));
            tick();
            check();
        }

        void control(Runnable input) {
            if (controlLate.contains(now)) {
                at(controlLate.toMs(), () -> control(input));
            } else {
                input.run();
            }
        }

        void setActive(boolean newActive) {
            if (active && !newActive) {
                handle(new BatchInput.SteppedDown());
            }
            active = newActive;
        }

        private void tick() {
            control(() -> {
                handle(new BatchInput.Engines(List.of(Batches.engine("e1", 40, 1), Batches.engine("e2", 40, 1))));
                handle(new BatchInput.Tick());
            });
            after(100, this::tick);
        }

        void submit(BatchHead head) {
            storeCall(
                    new StoreRequest.Write(BatchKeys.head(head.id()), ObjectStore.ABSENT, BatchCodec.head(head)),
                    reply -> {
                        if (reply instanceof StoreReply.Written) {
                            tell(this::open, head, now + TELL_RUNNER_MS, () -> {});
                        } else if (!(reply instanceof StoreReply.Conflict)) {
                            after(50, () -> submit(head));
                        }
                    });
        }

        private boolean open(Node at, BatchHead head) {
            at.openIfActive(head);
            return at.active;
        }

        private void openIfActive(BatchHead head) {
            if (active) {
                handle(new BatchInput.Open(head, Batches.items(head.id().value(), ITEMS), false));
            }
        }

        // Ends.

        void end(BatchId batch, long deadlineMs, Runnable confirmed) {
            boolean[] over = {false};
            advance(new Ending(batch, Batches.TEAM, now), deadlineMs, confirmed, over);
            if (has(Mechanism.UNSTORED_END_IS_TOLD)) {
                after(TELL_UNSTORED_AFTER_MS, () -> {
                    if (!over[0]) {
                        control(() -> stop(batch));
                        tellWhileUnstored(batch, over);
                    }
                });
            }
        }

        private void advance(Ending ending, long deadlineMs, Runnable confirmed, boolean[] over) {
            boolean givenUp = now >= deadlineMs && !has(Mechanism.END_IS_RETRIED);
            if (ending.isDone(now) || givenUp) {
                over[0] = true;
                return;
            }
            Optional<StoreRequest> request = ending.next(now);
            if (request.isEmpty()) {
                after(20, () -> advance(ending, deadlineMs, confirmed, over));
                return;
            }
            storeCall(request.get(), reply -> {
                reply(ending, reply);
                if (ending.isStored()) {
                    endStored(ending.batch(), now <= deadlineMs ? confirmed : () -> {});
                }
                advance(ending, deadlineMs, confirmed, over);
            });
        }

        private void reply(Ending ending, StoreReply reply) {
            try {
                ending.reply(now, reply);
            } catch (MalformedBatchException e) {
                throw new IllegalStateException(e);
            }
        }

        private void endStored(BatchId batch, Runnable confirmed) {
            confirmed.run();
            ended(batch);
            tell((to, id) -> to.endIfActive(id), batch, now + TELL_RUNNER_MS, () -> {});
        }

        private boolean endIfActive(BatchId batch) {
            ended(batch);
            return active;
        }

        private void ended(BatchId batch) {
            gate.end(batch);
            control(() -> handle(new BatchInput.End(batch)));
        }

        private void tellWhileUnstored(BatchId batch, boolean[] over) {
            if (!over[0]) {
                if (has(Mechanism.ALL_NODES_ARE_TOLD)) {
                    nodes.stream().filter(n -> n != this).forEach(to -> send(to, () -> to.stop(batch)));
                }
                tell(
                        (to, id) -> to.stop(id),
                        batch,
                        now + TELL_RUNNER_MS,
                        () -> after(TELL_UNSTORED_PERIOD_MS, () -> tellWhileUnstored(batch, over)));
            }
        }

        private boolean stop(BatchId batch) {
            boolean known = core.team(batch).equals(Optional.of(Batches.TEAM));
            if (known || has(Mechanism.REQUESTED_END_IS_REMEMBERED)) {
                handle(new BatchInput.EndRequested(new EndRequest(batch, Batches.TEAM)));
            }
            if (known) {
                gate.end(batch);
                if (retried.add(batch)) {
                    end(batch, now, () -> {});
                }
            }
            return active;
        }

        private interface Told<T> {
            boolean handle(Node to, T message);
        }

        // Calls the runner until it acknowledges or the time is over, and then continues.
        private <T> void tell(Told<T> told, T message, long untilMs, Runnable then) {
            if (now >= untilMs) {
                then.run();
                return;
            }
            Node to = nodes.get(runner);
            boolean[] acknowledged = {false};
            send(to, () -> {
                if (told.handle(to, message)) {
                    send(this, () -> acknowledged[0] = true);
                }
            });
            after(TELL_TIMEOUT_MS, () -> {
                if (acknowledged[0]) {
                    then.run();
                } else {
                    tell(told, message, untilMs, then);
                }
            });
        }

        // The store.

        boolean isCutOff() {
            return number == cutOff && storeDown.contains(now);
        }

        private boolean isStoreDown(long ms) {
            return storeDown.contains(ms) || outage.contains(ms);
        }

        private void storeCall(StoreRequest request, Consumer<StoreReply> reply) {
            if (isStoreDown(now)) {
                boolean lost = random.nextBoolean() && request instanceof StoreRequest.Write;
                after(
                        STORE_DEADLINE_MS,
                        () -> reply.accept(lost ? new StoreReply.Unknown() : new StoreReply.Unavailable()));
            } else {
                after(delayMs(700), () -> {
                    StoreReply answer = store.apply(request);
                    after(delayMs(700), () -> reply.accept(answer));
                });
            }
        }

        private void check() {
            long startMs = now;
            boolean down = isStoreDown(now);
            after(down ? STORE_DEADLINE_MS : delayMs(700), () -> {
                List<ObjectStore.Entry> read = store.objects.values().stream()
                        .filter(o -> o.key().value().startsWith(BatchKeys.HEADS + "/"))
                        .map(ObjectStore.Entry::of)
                        .toList();
                after(down ? 0 : delayMs(700), () -> {
                    endCheck(startMs, down, read);
                    at(Math.max(startMs + StartGate.CHECK_PERIOD_MS, now), this::check);
                });
            });
        }

        private void endCheck(long startMs, boolean failed, List<ObjectStore.Entry> read) {
            if (!has(Mechanism.CHECKS)) {
                gate.checked(now);
                return;
            }
            boolean counts = outage.contains(startMs) || !has(Mechanism.FAILED_CHECK_IS_CONFIRMED);
            ObjectStore result = new ListedStore(read, failed, counts);
            BooleanSupplier first = new FirstCall();
            new StoreCheck(
                            new StoredBatches(result, () -> now),
                            gate,
                            () -> first.getAsBoolean() ? startMs : now,
                            new StoreCheck.Receiver() {
                                @Override
                                public void ended(BatchId batch) {
                                    Node.this.ended(batch);
                                }

                                @Override
                                public void open(List<BatchHead> heads) {
                                    after(delayMs(1_500), () -> control(() -> heads.forEach(Node.this::openIfActive)));
                                }
                            })
                    .run();
        }

        // Runs.

        private void handle(BatchInput input) {
            core.on(now, input).forEach(this::perform);
        }

        private void perform(BatchEffect effect) {
            switch (effect) {
                case BatchEffect.Store s ->
                    storeCall(s.request(), r -> control(() -> handle(new BatchInput.StoreReplied(s.tag(), r))));
                case BatchEffect.StartRun s -> {
                    boolean[] stopped = {false};
                    runs.put(s.run().id(), stopped);
                    long startMs = now + delayMs(300);
                    at(startMs, () -> maySend(s.run(), stopped, startMs + MAX_HOLD_MS));
                }
                case BatchEffect.StopRun s -> runs.getOrDefault(s.run(), new boolean[1])[0] = true;
                case BatchEffect.StartScoring scoring -> throw new IllegalStateException("no item has a scorer");
                case BatchEffect.StopScoring scoring -> throw new IllegalStateException("no item has a scorer");
                case BatchEffect.Answer a -> {}
                case BatchEffect.Observe o -> {}
                case BatchEffect.Log l -> {}
            }
        }

        private void maySend(ItemRun run, boolean[] stopped, long untilMs) {
            StartGate.Decision decision =
                    has(Mechanism.GATE) ? gate.decide(now, run.batch().id()) : StartGate.Decision.SEND;
            if (stopped[0]) {
                runEnded(run, new RunOutcome.Stopped());
            } else if (decision == StartGate.Decision.SEND) {
                after(delayMs(CONNECT_MS), () -> reach(run));
            } else if (decision == StartGate.Decision.ENDED || now >= untilMs) {
                runEnded(run, new RunOutcome.Withheld());
            } else {
                after(20, () -> maySend(run, stopped, untilMs));
            }
        }

        // No engine completes an item, so that each batch has items to send until it has ended.
        private void reach(ItemRun run) {
            checker.itemSent(run.batch().id().value(), now);
            RunOutcome outcome = random.nextBoolean() ? new RunOutcome.Refused(false) : new RunOutcome.Broken("reset");
            after(delayMs(500), () -> runEnded(run, outcome));
        }

        private void runEnded(ItemRun run, RunOutcome outcome) {
            runs.remove(run.id());
            control(() -> handle(new BatchInput.RunEnded(run.id(), outcome, List.of())));
        }
    }

    /** Is true once. */
    private static final class FirstCall implements BooleanSupplier {
        private boolean called;

        @Override
        public boolean getAsBoolean() {
            boolean first = !called;
            called = true;
            return first;
        }
    }
}
