package org.magnoliabridge.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.magnoliabridge.calls.EndpointSource.Priority;
import org.magnoliabridge.ids.TeamId;

/** The waiting requests of one service: interactive ones first, fair among teams within each priority. */
final class ServiceQueue {
    private static final double RATE_WINDOW_MS = 5_000;

    private final FairQueue<Ticket> interactive = new FairQueue<>(Ticket::tokens);
    private final FairQueue<Ticket> training = new FairQueue<>(Ticket::tokens);
    private double tokensPerMs;
    private long finishedTokens;
    private long windowStartMs = Long.MIN_VALUE;

    void add(Ticket ticket, int weight) {
        queue(ticket.priority()).add(ticket.team(), weight, ticket);
    }

    Optional<Ticket> poll(Predicate<Ticket> placeable) {
        Optional<Ticket> first = interactive.poll(placeable);
        return first.isPresent() ? first : training.poll(placeable);
    }

    List<Ticket> removeIf(Predicate<Ticket> predicate) {
        List<Ticket> gone = new ArrayList<>(interactive.removeIf(predicate));
        gone.addAll(training.removeIf(predicate));
        return gone;
    }

    int size() {
        return interactive.size() + training.size();
    }

    /**
     * Makes room for an arriving request in a full queue: removes the newest training request of the team with the
     * largest backlog, or the newest interactive one if only those wait.
     *
     * @return the removed request; empty if the arriving request itself belongs to that backlog or has less priority
     */
    Optional<Ticket> pushOut(Ticket arriving) {
        boolean fromTraining = training.size() > 0;
        if (!fromTraining && arriving.priority() == Priority.TRAINING) {
            return Optional.empty();
        }
        FairQueue<Ticket> victims = fromTraining ? training : interactive;
        Optional<TeamId> team = victims.longest();
        boolean same = team.filter(arriving.team()::equals).isPresent()
                && fromTraining == (arriving.priority() == Priority.TRAINING);
        return same ? Optional.empty() : team.flatMap(victims::removeNewest);
    }

    /** Counts the tokens of a finished request and corrects its team's virtual time. */
    void finished(Ticket ticket, int usedTokens, long nowMs) {
        queue(ticket.priority()).correct(ticket.team(), ticket.tokens(), usedTokens);
        if (windowStartMs == Long.MIN_VALUE) {
            windowStartMs = nowMs;
        }
        finishedTokens += usedTokens;
        long windowMs = nowMs - windowStartMs;
        if (windowMs >= RATE_WINDOW_MS) {
            double measured = (double) finishedTokens / windowMs;
            tokensPerMs = tokensPerMs == 0 ? measured : (tokensPerMs + measured) / 2;
            finishedTokens = 0;
            windowStartMs = nowMs;
        }
    }

    /** Returns the expected wait of a request that arrives now, in milliseconds; 0 while the rate is not known. */
    long expectedWaitMs(Ticket arriving, int weight) {
        if (tokensPerMs == 0) {
            return 0;
        }
        double before = arriving.priority() == Priority.INTERACTIVE
                ? interactive.tokensBefore(arriving.team(), weight)
                : interactive.tokens() + training.tokensBefore(arriving.team(), weight);
        return (long) (before / tokensPerMs);
    }

    private FairQueue<Ticket> queue(Priority priority) {
        return priority == Priority.INTERACTIVE ? interactive : training;
    }
}
