package org.magnoliabridge.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.magnoliabridge.calls.EndpointSource.Priority;
import org.magnoliabridge.ids.TeamId;

/** The queued requests of one service: interactive requests first, fair queueing among teams within each priority. */
final class ServiceQueue {
    private static final double THROUGHPUT_WINDOW_MS = 5_000;

    private final FairQueue<AdmissionRequest> interactive = new FairQueue<>(AdmissionRequest::estimatedTokens);
    private final FairQueue<AdmissionRequest> training = new FairQueue<>(AdmissionRequest::estimatedTokens);
    private double tokensPerMs;
    private long finishedTokens;
    private long windowStartMs = Long.MIN_VALUE;

    void add(AdmissionRequest request, int weight) {
        queue(request.priority()).add(request.team(), weight, request);
    }

    Optional<AdmissionRequest> poll(Predicate<AdmissionRequest> placeable) {
        Optional<AdmissionRequest> first = interactive.poll(placeable);
        return first.isPresent() ? first : training.poll(placeable);
    }

    List<AdmissionRequest> removeIf(Predicate<AdmissionRequest> predicate) {
        List<AdmissionRequest> removed = new ArrayList<>(interactive.removeIf(predicate));
        removed.addAll(training.removeIf(predicate));
        return removed;
    }

    int size() {
        return interactive.size() + training.size();
    }

    /**
     * Makes room for an arriving request in a full queue: removes the newest training request of the team with the
     * largest backlog of them, or, if no training requests are queued, does the same with interactive requests.
     *
     * @return the removed request; empty if the arriving request itself belongs to that backlog or has a lower priority
     */
    Optional<AdmissionRequest> evictFor(AdmissionRequest arriving) {
        boolean fromTraining = training.size() > 0;
        if (!fromTraining && arriving.priority() == Priority.TRAINING) {
            return Optional.empty();
        }
        FairQueue<AdmissionRequest> evictable = fromTraining ? training : interactive;
        Optional<TeamId> team = evictable.largestBacklog();
        boolean sameBacklog = team.filter(arriving.team()::equals).isPresent()
                && fromTraining == (arriving.priority() == Priority.TRAINING);
        return sameBacklog ? Optional.empty() : team.flatMap(evictable::removeNewest);
    }

    /** Adds a finished request to the measured throughput and corrects its team's virtual start time. */
    void finished(AdmissionRequest request, int usedTokens, long nowMs) {
        queue(request.priority()).correct(request.team(), request.estimatedTokens(), usedTokens);
        if (windowStartMs == Long.MIN_VALUE) {
            windowStartMs = nowMs;
        }
        finishedTokens += usedTokens;
        long windowMs = nowMs - windowStartMs;
        if (windowMs >= THROUGHPUT_WINDOW_MS) {
            double measured = (double) finishedTokens / windowMs;
            tokensPerMs = tokensPerMs == 0 ? measured : (tokensPerMs + measured) / 2;
            finishedTokens = 0;
            windowStartMs = nowMs;
        }
    }

    /**
     * Returns the expected waiting time of a request that arrives now, in milliseconds; 0 until the throughput has been
     * measured.
     */
    long expectedWaitMs(AdmissionRequest arriving, int weight) {
        if (tokensPerMs == 0) {
            return 0;
        }
        double tokensBefore = arriving.priority() == Priority.INTERACTIVE
                ? interactive.tokensBefore(arriving.team(), weight)
                : interactive.tokens() + training.tokensBefore(arriving.team(), weight);
        return (long) (tokensBefore / tokensPerMs);
    }

    private FairQueue<AdmissionRequest> queue(Priority priority) {
        return priority == Priority.INTERACTIVE ? interactive : training;
    }
}
