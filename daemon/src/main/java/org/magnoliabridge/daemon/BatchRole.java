package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.magnoliabridge.batch.BatchMessages;
import org.magnoliabridge.batch.BatchMessages.Announcement;
import org.magnoliabridge.batch.MalformedBatchException;
import org.magnoliabridge.batch.RunnerElection;
import org.magnoliabridge.core.MonotonicClock;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.membership.Member;
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
    private long announcedAtMs;
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
        boolean elected = election.updateMembers(nowMs, membership.ranked(SCOPE));
        if (elected) {
            LOG.atInfo().with(LogFields.VERSION, election.term()).log("this node was elected to run the batches");
        }
        if (election.isRunner() && (elected || nowMs - announcedAtMs >= ANNOUNCE_PERIOD_MS)) {
            announcedAtMs = nowMs;
            announce();
        }
        updateScheduler();
    }

    /** Gives up the role before the node stops. */
    void resign() {
        election.resign();
        updateScheduler();
    }

    private void announce() {
        byte[] body = BatchMessages.pack(new Announcement(self, election.term()));
        membership.members().stream()
                .filter(Member::isAlive)
                .map(Member::id)
                .filter(id -> !id.equals(self))
                .forEach(id -> peers.sendOneWay(id, PeerCalls.Method.ANNOUNCE_RUNNER, body));
    }

    private void onAnnouncement(NodeId from, byte[] body) {
        try {
            Announcement announcement = BatchMessages.announcement(body);
            if (election.onAnnouncement(announcement.runner(), announcement.term())) {
                LOG.atInfo()
                        .with(LogFields.PEER, announcement.runner().value())
                        .with(LogFields.VERSION, announcement.term())
                        .log("node announced as the batch runner");
            }
            updateScheduler();
        } catch (MalformedBatchException e) {
            LOG.atWarning().withCause(e).with(LogFields.PEER, from.value()).log("malformed batch runner announcement");
        }
    }

    private void updateScheduler() {
        runner = election.runner();
        if (election.isRunner()) {
            scheduler.activate();
        } else {
            scheduler.deactivate();
        }
    }
}
