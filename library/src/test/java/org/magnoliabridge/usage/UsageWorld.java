package org.magnoliabridge.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.sim.Fault;
import org.magnoliabridge.sim.SimWorld;

/** Simulates four nodes that count; two of them alternate as lease holder, and for some time both believe they are. */
final class UsageWorld extends SimWorld {
    private static final int NODES = 4;
    private static final long WINDOW_MS = 6_000;
    private static final long TRAFFIC_INTERVAL_MS = 290;
    private static final long TRAFFIC_END_MS = 12_000;
    private static final long TWO_LEADERS_START_MS = 18_000;
    private static final long SECOND_LEADER_START_MS = 32_000;
    private static final long DRAIN_MS = 9_000;
    private static final long END_MS = 150_000;
    private static final long LEASE_MS = 10_000;

    private final Set<Mechanism> mechanisms;
    private final UsageChecker checker = new UsageChecker(this::require);
    private final List<Node> nodes = new ArrayList<>();
    private int leader;
    private long fencing = 1;
    private long leaderSeenMs;
    private int deliveries;
    private long checkedRevision;

    UsageWorld(Map<Integer, Fault> faults, Set<Mechanism> mechanisms) {
        super(faults);
        this.mechanisms = mechanisms;
        IntStream.range(0, NODES).forEach(i -> nodes.add(new Node(i)));
    }

    UsageWorld run() {
        at(0, this::updatePeers);
        at(DRAIN_MS, () -> nodes.get(3).host.after(0, nodes.get(3)::drain));
        storeOutage(20_000, 26_000);
        runUntil(END_MS);
        checker.checkTotals(store.objects.values().stream()
                .filter(o -> o.key().value().startsWith("usage/"))
                .toList());
        for (long w = 0; w < TRAFFIC_END_MS / WINDOW_MS; w++) {
            require(checker.isReported(w), "a window was never reported");
        }
        return this;
    }

    /** Simulates the lease and the member table: grants the lease and sends each node its leader and peers. */
    private void updatePeers() {
        Node current = nodes.get(leader);
        if (current.host.isUp() && !current.host.isPaused()) {
            leaderSeenMs = now;
        }
        if (now - leaderSeenMs >= LEASE_MS || (now >= SECOND_LEADER_START_MS && now < SECOND_LEADER_START_MS + 1_000)) {
            leader = now >= SECOND_LEADER_START_MS && now < SECOND_LEADER_START_MS + 1_000 ? 1 : 1 - leader;
            leaderSeenMs = now;
            fencing++;
        }
        nodes.get(leader).grantLease(fencing);
        if (now >= TWO_LEADERS_START_MS && now < SECOND_LEADER_START_MS) {
            nodes.get(1 - leader).grantLease(fencing + 1_000);
        }
        for (Node node : nodes) {
            List<ProcessName> copies = IntStream.range(1, NODES)
                    .mapToObj(i -> nodes.get((node.number + i) % NODES).peer())
                    .toList();
            Optional<ProcessName> leading = Optional.of(nodes.get(leader).peer());
            UsageInput.Peers peers = new UsageInput.Peers(copies, leading);
            node.host.after(0, () -> node.handle(peers));
        }
        at(1_000, this::updatePeers);
    }

    @Override
    protected void check() {
        if (store.revision() != checkedRevision) {
            checkedRevision = store.revision();
            store.objects.values().forEach(checker::checkStoredObject);
        }
    }

    @Override
    protected void onCrash(Host host) {
        nodes.stream().filter(n -> n.host == host && !n.drained).forEach(n -> checker.recordCrash(n.process(), now));
    }

    private final class Node {
        private final int number;
        private final Host host;
        private int starts;
        private boolean drained;
        private boolean draining;
        private UsageCore core;
        private long leaseUntilMs;

        Node(int number) {
            this.number = number;
            this.host = new Host(this::start);
            start();
        }

        private void start() {
            core = new UsageCore(
                    new NodeId("n" + number),
                    new Incarnation(++starts),
                    UsageTimes.withoutDueTime(WINDOW_MS),
                    mechanisms);
            drained = false;
            draining = false;
            host.every(200, () -> handle(new UsageInput.Tick()));
            host.after(TRAFFIC_INTERVAL_MS + number, this::generateTraffic);
        }

        ProcessName peer() {
            return new ProcessName(new NodeId("n" + number), new Incarnation(starts));
        }

        String process() {
            return "n" + number + "/" + starts;
        }

        void grantLease(long token) {
            host.after(0, () -> {
                leaseUntilMs = now + 7_000;
                handle(new UsageInput.LeaseHeld(leaseUntilMs, new FencingToken(token)));
            });
        }

        void drain() {
            draining = true;
            handle(new UsageInput.Drain());
        }

        private void generateTraffic() {
            if (now < TRAFFIC_END_MS && !draining) {
                int tokens = 10 + ++deliveries % 7;
                checker.recordDelivery(process(), now, tokens);
                handle(new UsageInput.Delivered(new TeamId("team" + deliveries % 2), new Count(1, 5, tokens)));
                host.after(TRAFFIC_INTERVAL_MS + number, this::generateTraffic);
            }
        }

        // A frame for one process does not reach a later one of the same node.
        private void handleAs(ProcessName process, UsageInput input) {
            if (peer().equals(process)) {
                handle(input);
            }
        }

        void handle(UsageInput input) {
            core.handle(input, now).forEach(this::perform);
        }

        private Node node(NodeId id) {
            return nodes.get(id.value().charAt(1) - '0');
        }

        private void perform(UsageEffect effect) {
            ProcessName self = peer();
            switch (effect) {
                case UsageEffect.Store s -> storeCall(host, s.request(), r -> handle(new UsageInput.Reply(s.tag(), r)));
                case UsageEffect.SendCounts c ->
                    sendMessage(host, "counts", () -> {
                        Node to = node(c.to());
                        to.host.after(0, () -> to.handle(new UsageInput.Counts(self, c.body())));
                    });
                case UsageEffect.SendAck a ->
                    sendMessage(host, "ack", () -> {
                        Node to = node(a.to().node());
                        to.host.after(0, () -> to.handleAs(a.to(), new UsageInput.Ack(self, a.body())));
                    });
                case UsageEffect.Report r -> {
                    long sendBeforeMs = leaseUntilMs;
                    sendRequest(
                            host,
                            "report",
                            true,
                            () -> accept(r, sendBeforeMs),
                            result -> handle(new UsageInput.Reported(r.tag(), result)),
                            UsageInput.ReportResult.NOT_CONFIRMED);
                }
                case UsageEffect.Drained h -> {
                    drained = true;
                    host.crash();
                }
                case UsageEffect.ReportConflict o -> require(false, "the platform has a different report");
                case UsageEffect.EngineMismatch d ->
                    require(false, "unexpected engine mismatch: no engine counts were given");
            }
        }

        private UsageInput.ReportResult accept(UsageEffect.Report report, long sendBeforeMs) {
            if (now >= sendBeforeMs && !delayedInTransit) {
                return UsageInput.ReportResult.NOT_CONFIRMED;
            }
            long window = report.window().value();
            boolean accepted =
                    checker.recordReport(window, report.body(), store.objects.get(new ObjectKey("usage/" + window)));
            return accepted ? UsageInput.ReportResult.ACCEPTED : UsageInput.ReportResult.OTHER_FIGURES;
        }
    }
}
