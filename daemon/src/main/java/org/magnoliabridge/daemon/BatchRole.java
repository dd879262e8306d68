package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.magnoliabridge.batch.BatchMessages;
import org.magnoliabridge.batch.BatchMessages.Announcement;
import org.magnoliabridge.batch.MalformedBatchException;
import org.magnoliabridge.batch.RunnerElection;
import org.magnoliabridge.batch.RunnerElection.Candidate;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ProcessName;
import org.magnoliabridge.membership.Item;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MemberState.Liveness;
import org.magnoliabridge.telemetry.LogFields;

/** Tracks which node runs the batches, and announces this node when it is elected; control thread only. */
final class BatchRole {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String SCOPE = "batches";
    // Announcements are repeated, so that a node that missed one learns of the runner within this time.
    private static final long ANNOUNCE_PERIOD_MS = 1_000;

    private final NodeId self;
    private final MembershipDriver membership;
    private final PeerCalls peers;
    private final RunnerElection election;
    private final BatchScheduler scheduler;
    private final MonotonicClock clock;
    private boolean membersChanged = true;
    private List<Candidate> candidates = List.of();
    private Set<NodeId> suspects = Set.of();
    private long announcedAtMs;
    private boolean resigned;
    private volatile Optional<NodeId> runner = Optional.empty();

    BatchRole(
            NodeId self,
            MembershipDriver membership,
            PeerCalls peers,
            RunnerElection election,
            BatchScheduler scheduler,
            MonotonicClock clock) {
        this.self = self;
        this.membership = membership;
        this.peers = peers;
        this.election = election;
        this.scheduler = scheduler;
        this.clock = clock;
        membership.addMemberListener(members -> membersChanged = true);
        membership.addListener(new MembershipDriver.Listener() {
            @Override
            public void delivered(Item item) {}

            @Override
            public void majority(boolean reached) {
                election.onMajority(reached);
            }
        });
        peers.serve(PeerCalls.Method.ANNOUNCE_RUNNER, (from, body, answer) -> onAnnouncement(from, body));
    }

    /** Returns the node that runs the batches, as far as is known; any thread may call. */
    Optional<NodeId> runner() {
        return runner;
    }

    /** Returns whether this node runs the batches; control thread only. */
    boolean isSelf() {
        return election.isRunner();
    }

    /** Updates the election from the current members; called several times a second. */
    void tick() {
        long nowMs = clock.nowMs();
        refreshMembers();
        RunnerElection.Change change = election.updateMembers(nowMs, candidates, suspects);
        logChange(change);
        // Before the announcement, so that a node that hands over has stopped when its successor starts.
        updateScheduler();
        boolean due = nowMs - announcedAtMs >= ANNOUNCE_PERIOD_MS;
        if (election.announces() && (due || change != RunnerElection.Change.NONE)) {
            announcedAtMs = nowMs;
            announce();
        }
    }

    /** Gives up the role before the node stops. */
    void resign() {
        resigned = true;
        updateScheduler();
    }

    private void refreshMembers() {
        if (membersChanged) {
            membersChanged = false;
            Map<NodeId, Member> byId =
                    membership.members().stream().collect(Collectors.toMap(Member::id, Function.identity()));
            candidates = membership.ranked(SCOPE).stream()
                    .map(byId::get)
                    .map(m -> new Candidate(
                            m.id(),
                            m.state().incarnation(),
                            m.location().capacityMillicores(),
                            m.state().storeServes()))
                    .toList();
            suspects = membership.members().stream()
                    .filter(m -> m.state().liveness() == Liveness.SUSPECT)
                    .filter(m -> !m.state().leaving())
                    .map(Member::id)
                    .collect(Collectors.toSet());
        }
    }

    private void logChange(RunnerElection.Change change) {
        if (change == RunnerElection.Change.ELECTED) {
            LOG.atInfo().with(LogFields.VERSION, election.term()).log("this node was elected to run the batches");
        } else if (change == RunnerElection.Change.HANDED_OVER) {
            logHandover("batches handed over to a node with more processor capacity");
        } else if (change == RunnerElection.Change.HANDED_OVER_FOR_STORE) {
            logHandover("batches handed over to a node that the store serves");
        }
    }

    private void logHandover(String message) {
        LOG.atInfo()
                .with(LogFields.PEER, election.runner().orElseThrow().value())
                .with(LogFields.VERSION, election.term())
                .log("%s", message);
    }

    private byte[] announcement() {
        return BatchMessages.pack(new Announcement(election.runner().orElseThrow(), election.term()));
    }

    private void announce() {
        tellOthers(PeerCalls.Method.ANNOUNCE_RUNNER, announcement());
    }

    /** Sends a call to all other live nodes without waiting for answers; control thread only. */
    void tellOthers(PeerCalls.Method method, byte[] body) {
        membership.members().stream()
                .filter(Member::isAlive)
                .map(Member::id)
                .filter(id -> !id.equals(self))
                .forEach(id -> peers.sendOneWay(id, method, body));
    }

    private void onAnnouncement(ProcessName from, byte[] body) {
        try {
            Announcement announcement = BatchMessages.announcement(body);
            if (changesRunner(from, announcement)) {
                LOG.atInfo()
                        .with(LogFields.PEER, announcement.runner().value())
                        .with(LogFields.VERSION, announcement.term())
                        .log("node announced as the batch runner");
            }
            if (election.isOutdated(announcement.term())) {
                peers.sendOneWay(from.node(), PeerCalls.Method.ANNOUNCE_RUNNER, announcement());
            }
            updateScheduler();
        } catch (MalformedBatchException e) {
            LOG.atWarning()
                    .withCause(e)
                    .with(LogFields.PEER, from.node().value())
                    .log("malformed batch runner announcement");
        }
    }

    private boolean changesRunner(ProcessName from, Announcement announcement) {
        return announcement.runner().equals(from.node())
                ? election.onAnnouncement(from, announcement.term())
                : election.onAnnouncement(announcement.runner(), announcement.term());
    }

    private void updateScheduler() {
        // Another node may still hand over to this one while it is leaving.
        if (resigned) {
            election.resign();
        }
        runner = election.runner();
        if (election.isRunner()) {
            scheduler.activate();
        } else {
            scheduler.deactivate();
        }
    }
}
