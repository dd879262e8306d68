package org.magnoliabridge.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.edge.UsageSink;
import org.magnoliabridge.external.CallPermit;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoreRequest.Priority;
import org.magnoliabridge.external.StoreRunner;
import org.magnoliabridge.external.UsageReports;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.lease.LeaseView;
import org.magnoliabridge.membership.Item;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MembershipInput;
import org.magnoliabridge.telemetry.LogFields;
import org.magnoliabridge.usage.Count;
import org.magnoliabridge.usage.UsageCore;
import org.magnoliabridge.usage.UsageEffect;
import org.magnoliabridge.usage.UsageInput;
import org.magnoliabridge.usage.UsageInput.ReportResult;
import org.magnoliabridge.wire.FrameType;

/** Runs the usage core: counts requests, copies counts to peers, and under the lease seals and reports windows. */
final class UsageDriver implements UsageSink {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String LEADER_ITEM = "leader.usage";
    private static final long TICK_MS = 100;
    private static final int CONFLICT = 409;
    private static final Count ONE_REQUEST = new Count(1, 0, 0);

    private final NodeId self;
    private final LongSupplier wallClock;
    private final MonotonicClock clock;
    private final MetricRegistry metrics;
    private final ControlLoop loop;
    private final StoreRunner store;
    private final MembershipDriver membership;
    private final LeaseDriver lease;
    private final UsageCore core;
    private final UsageReports reports;
    private final CompletableFuture<Void> handedOver = new CompletableFuture<>();
    // Accessed on the control thread only.
    private boolean membersChanged = true;
    private List<ProcessName> copyCandidates = List.of();
    private boolean holdsLease;
    private Optional<NodeId> leader = Optional.empty();
    private long leaderFencing;

    UsageDriver(
            NodeId self,
            UsageCore core,
            UsageReports reports,
            MembershipDriver membership,
            LeaseDriver lease,
            StoreRunner store,
            ControlLoop loop,
            MonotonicClock clock,
            LongSupplier wallClock,
            MetricRegistry metrics) {
        this.self = self;
        this.core = core;
        this.reports = reports;
        this.membership = membership;
        this.lease = lease;
        this.store = store;
        this.loop = loop;
        this.clock = clock;
        this.wallClock = wallClock;
        this.metrics = metrics;
        membership.addMemberListener(members -> membersChanged = true);
    }

    /** Starts the periodic work. */
    void start() {
        membership.addListener(new LeaderListener());
        membership.onFrame(FrameType.USAGE_COUNTS, (from, frame) -> handle(new UsageInput.Counts(from, frame.body())));
        membership.onFrame(FrameType.USAGE_ACK, (from, frame) -> handle(new UsageInput.Ack(from, frame.body())));
        loop.postPeriodically(TICK_MS, this::tick);
    }

    @Override
    public void delivered(Delivery delivery) {
        Count count = new Count(delivery.requests(), delivery.promptTokens(), delivery.completionTokens());
        loop.post(() -> handle(new UsageInput.Delivered(delivery.team(), count)));
    }

    /** Counts a request of a team that started at a wall-clock time in milliseconds; any thread may call. */
    void requestStarted(TeamId team, long atMs) {
        UsageInput started = new UsageInput.Delivered(team, ONE_REQUEST, OptionalLong.of(atMs));
        loop.post(() -> handle(started));
    }

    /** Hands over all counts; the result completes when the peers have received them. */
    CompletableFuture<Void> handOver() {
        loop.post(() -> handle(new UsageInput.Drain()));
        return handedOver;
    }

    /** Handles a clock tick; called several times a second, control thread only. */
    void tick() {
        followLease();
        refreshMembers();
        handle(new UsageInput.Peers(copyCandidates, leader.flatMap(this::peer)));
        handle(new UsageInput.Tick());
    }

    private void followLease() {
        LeaseView view = lease.view();
        long nowMs = clock.nowMs();
        if (view.maySend(nowMs)) {
            if (!holdsLease) {
                announceLeader(view);
            }
            holdsLease = true;
            long sendUntilMs = wallClock.getAsLong() + view.sendUntilMs() - nowMs;
            handle(new UsageInput.LeaseHeld(sendUntilMs, view.fencing()));
        } else if (holdsLease) {
            holdsLease = false;
            handle(new UsageInput.LeaseLost());
        }
    }

    private void announceLeader(LeaseView view) {
        leader = Optional.of(self);
        leaderFencing = view.fencing().value();
        Item item = new Item(LEADER_ITEM, leaderFencing, self.value().getBytes(StandardCharsets.UTF_8));
        membership.handle(new MembershipInput.ItemAccepted(item));
    }

    // In order of preference; the core copies to the first two that are not the leader.
    private void refreshMembers() {
        if (membersChanged) {
            membersChanged = false;
            Map<NodeId, ProcessName> alive = membership.members().stream()
                    .filter(Member::isAlive)
                    .collect(Collectors.toMap(Member::id, Member::process));
            copyCandidates = membership.ranked("usage-copies/" + self).stream()
                    .filter(n -> !n.equals(self))
                    .flatMap(n -> Optional.ofNullable(alive.get(n)).stream())
                    .toList();
        }
    }

    private Optional<ProcessName> peer(NodeId node) {
        return membership.members().stream()
                .filter(m -> m.id().equals(node) && m.isAlive())
                .findFirst()
                .map(Member::process);
    }

    private void handle(UsageInput input) {
        for (UsageEffect effect : core.handle(input, wallClock.getAsLong())) {
            carryOut(effect);
        }
    }

    private void carryOut(UsageEffect effect) {
        switch (effect) {
            case UsageEffect.SendCounts send -> membership.send(send.to(), FrameType.USAGE_COUNTS, send.body());
            case UsageEffect.SendAck send -> membership.answer(send.to(), FrameType.USAGE_ACK, 0, send.body());
            case UsageEffect.Store request ->
                store.run(
                        request.request(),
                        Priority.STATUS,
                        reply -> handle(new UsageInput.Reply(request.tag(), reply)));
            case UsageEffect.Report report ->
                Thread.ofVirtual().name("usage-report").start(() -> report(report));
            case UsageEffect.Drained done -> handedOver.complete(null);
            case UsageEffect.ReportConflict other -> {
                metrics.counter("usage.other_figures").inc();
                LOG.atSevere().log(
                        "figures of the platform for window %s differ from the sealed record", other.window());
            }
            case UsageEffect.EngineMismatch difference -> {
                metrics.counter("usage.differences").inc();
                LOG.atWarning().log(
                        "window %s: counted %s, engines counted %s",
                        difference.window(), difference.sealedCount(), difference.engineCount());
            }
        }
    }

    private void report(UsageEffect.Report report) {
        ReportResult result = lease.gate()
                .admit(report.fencing())
                .map(permit -> send(report, permit))
                .orElse(ReportResult.NOT_CONFIRMED);
        LOG.atInfo()
                .with(LogFields.FENCING, report.fencing().value())
                .log("usage report of window %s: %s", report.window(), result);
        metrics.counter("usage.reports." + result).inc();
        loop.post(() -> handle(new UsageInput.Reported(report.tag(), result)));
    }

    private ReportResult send(UsageEffect.Report report, CallPermit admitted) {
        try (CallPermit permit = admitted) {
            reports.report(new UsageReports.Report(report.window(), report.body(), report.requestsByTeam(), permit));
            return ReportResult.ACCEPTED;
        } catch (PlatformException.Rejected e) {
            return e.status() == CONFLICT ? ReportResult.OTHER_FIGURES : ReportResult.NOT_CONFIRMED;
        } catch (PlatformException e) {
            return ReportResult.NOT_CONFIRMED;
        }
    }

    /** Learns from membership items which node holds the usage lease. */
    private final class LeaderListener implements MembershipDriver.Listener {
        @Override
        public void delivered(Item item) {
            if (item.name().equals(LEADER_ITEM) && item.version() > leaderFencing) {
                try {
                    leader = Optional.of(NodeId.parse(new String(item.payload(), StandardCharsets.UTF_8)));
                    leaderFencing = item.version();
                } catch (InvalidIdException e) {
                    LOG.atWarning()
                            .with(LogFields.FAILURE, "InvalidIdException")
                            .log("malformed leader item");
                }
            }
        }
    }
}
