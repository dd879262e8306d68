package org.magnoliabridge.ledger;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ledger.LedgerEffect.Outcome;
import org.magnoliabridge.sim.Fault;
import org.magnoliabridge.sim.SimWorld;

/** Simulates three nodes, a service that records executions, and callers that retry a key on the next node. */
final class LedgerWorld extends SimWorld {
    private static final int NODES = 3;
    private static final long END_MS = 90_000;
    private static final long PROBE_MS = 75_000;

    /** One attempt of a caller, sent to one node. */
    private record Attempt(long id, String key, String body, long deadlineMs) {}

    private final Set<Mechanism> mechanisms;
    private final List<Node> nodes = new ArrayList<>();
    private long lastAttempt;
    private boolean crashedOrPaused;

    // What the checker has observed; it does not read the ledger's state.
    private final Map<String, List<Attempt>> executions = new HashMap<>();
    private final Set<String> sentKeys = new HashSet<>();
    private final Map<Attempt, List<Outcome>> outcomes = new HashMap<>();
    private final Set<String> finished = new HashSet<>();

    LedgerWorld(Map<Integer, Fault> faults, Set<Mechanism> mechanisms) {
        super(faults);
        this.mechanisms = mechanisms;
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(i));
        }
    }

    LedgerWorld run() {
        addCaller(0, "a", "body", 0, 8_000, 6);
        addCaller(0, "a", "body", 1, 8_000, 6);
        addCaller(0, "b", "body", 0, 8_000, 6);
        addCaller(2_000, "refused-once", "body", 2, 8_000, 6);
        addCaller(20_000, "a", "other", 1, 8_000, 3);
        addCaller(25_000, "a", "body", 2, 8_000, 3);
        addCaller(27_000, "short", "body", 0, 600, 1);
        for (String key : List.of("a", "b", "refused-once", "short")) {
            addCaller(PROBE_MS, key, "body", 1, 8_000, 1);
        }
        storeOutage(9_000, 12_000);
        runUntil(END_MS);
        return this;
    }

    private void addCaller(long startMs, String key, String body, int node, long waitMs, int attempts) {
        at(startMs - now, () -> attempt(key, body, node, waitMs, attempts));
    }

    private void attempt(String key, String body, int node, long waitMs, int attemptsLeft) {
        if (attemptsLeft == 0) {
            return;
        }
        Attempt attempt = new Attempt(++lastAttempt, key, body, now + waitMs);
        nodes.get(node).host.after(1, () -> nodes.get(node).call(attempt));
        at(waitMs + 1_000, () -> {
            if (!finished.contains(key + body)) {
                attempt(key, body, (node + 1) % NODES, waitMs, attemptsLeft - 1);
            }
        });
    }

    private LedgerInput.SendResult execute(Attempt attempt, long sendBeforeMs) {
        if (now >= sendBeforeMs && !delayedInTransit) {
            return new LedgerInput.NotRun();
        }
        if (attempt.key.equals("refused-once") && sentKeys.add("refused")) {
            return new LedgerInput.NotRun();
        }
        executions.computeIfAbsent(attempt.key, k -> new ArrayList<>()).add(attempt);
        return new LedgerInput.Ran(answerOf(attempt));
    }

    private static StoredAnswer answerOf(Attempt attempt) {
        byte[] body = ("answer to " + attempt.key + " " + attempt.body).getBytes(StandardCharsets.UTF_8);
        return StoredAnswer.of(200, "text/plain", body);
    }

    @Override
    protected void onCrash(Host host) {
        crashedOrPaused = true;
    }

    @Override
    protected void onPause(Host host) {
        crashedOrPaused = true;
    }

    @Override
    protected void check() {
        executions.forEach((key, runs) -> require(runs.size() <= 1, "key " + key + " ran more than once"));
        outcomes.forEach((attempt, answers) -> {
            require(answers.size() == 1, "a call was answered more than once");
            answers.forEach(answer -> check(attempt, answer));
        });
    }

    private void check(Attempt attempt, Outcome outcome) {
        List<Attempt> runs = executions.getOrDefault(attempt.key, List.of());
        switch (outcome) {
            case LedgerEffect.NotRun notRun -> require(!runs.contains(attempt), "a call answered as not run ran");
            case LedgerEffect.Ran ran -> {
                require(
                        runs.stream().anyMatch(r -> r.body.equals(attempt.body)),
                        "a call was answered as run with a body that did not run");
                require(ran.answer().equals(answerOf(attempt)), "an answer differs from the service's answer");
            }
            case LedgerEffect.Conflict conflict ->
                require(
                        attempt.body.equals("other") || runs.stream().anyMatch(r -> r.body.equals("other")),
                        "a conflict was answered for the same body");
            case LedgerEffect.Unknown unknown ->
                require(
                        crashedOrPaused || sentKeys.contains(attempt.key) || attempt.deadlineMs < PROBE_MS,
                        "a key that was never sent is still answered as unknown");
        }
    }

    private final class Node {
        private final int number;
        private final Host host;
        private final Map<Long, Attempt> attempts = new HashMap<>();
        private int starts;
        private LedgerCore core;

        Node(int number) {
            this.number = number;
            this.host = new Host(this::start);
            start();
        }

        private void start() {
            core = new LedgerCore(new NodeId("n" + number), new Incarnation(starts++), 1, mechanisms);
            host.every(200, () -> handle(new LedgerInput.Tick()));
        }

        void call(Attempt attempt) {
            attempts.put(attempt.id, attempt);
            LedgerKey key = new LedgerKey(new TeamId("t"), new ServiceId("s"), attempt.key);
            String digest = LedgerKey.digestOf(attempt.body.getBytes(StandardCharsets.UTF_8));
            handle(new LedgerInput.Call(attempt.id, key, digest, attempt.deadlineMs));
        }

        private void handle(LedgerInput input) {
            core.handle(input, now).forEach(this::perform);
        }

        private void perform(LedgerEffect effect) {
            switch (effect) {
                case LedgerEffect.Store s ->
                    storeCall(host, s.request(), r -> handle(new LedgerInput.Reply(s.tag(), r)));
                case LedgerEffect.Send s -> {
                    Attempt attempt = attempts.get(s.callId());
                    sentKeys.add(attempt.key);
                    LedgerInput.SendResult lost = new LedgerInput.Unknown();
                    sendRequest(
                            host,
                            "send",
                            false,
                            () -> execute(attempt, s.sendBeforeMs()),
                            r -> handle(new LedgerInput.SendFinished(attempt.id, r)),
                            lost);
                }
                case LedgerEffect.Answer a -> {
                    Attempt attempt = attempts.get(a.callId());
                    outcomes.computeIfAbsent(attempt, x -> new ArrayList<>()).add(a.outcome());
                    sendMessage(host, "answer", () -> {
                        if (!(a.outcome() instanceof LedgerEffect.NotRun)) {
                            finished.add(attempt.key + attempt.body);
                        }
                    });
                }
            }
        }
    }
}
