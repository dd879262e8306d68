package org.magnoliabridge.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.magnoliabridge.calls.GenerationRequest;

/**
 * The authoritative state of a step, as an immutable value; every transition returns a new head.
 *
 * <p>The head is a log: each appended group and each replacement takes the next position. A group is committed while
 * it has a live entry, that is, one that was not replaced. A cursor is a position in the log. A trainer that fetched up
 * to a cursor holds exactly the entries that were live at that position, so the cursor is refused once one of those
 * entries has been replaced.
 *
 * @param openedMs wall-clock time at which the step was opened
 * @param position the last position of the log
 * @param acknowledged the cursor up to which the trainer has acknowledged
 * @param acknowledgements all moves of the acknowledged cursor, oldest first; none is dropped, because the cursor may
 *     move on before an earlier request whose reply was lost looks for its token
 * @param trainerVersion the highest weight version that a trainer has reported
 */
public record StepHead(
        StepSpec spec,
        long openedMs,
        long position,
        long acknowledged,
        long trainerVersion,
        List<GroupEntry> entries,
        List<AckRecord> acknowledgements) {
    public StepHead {
        entries = List.copyOf(entries);
        acknowledgements = List.copyOf(acknowledgements);
    }

    static StepHead open(StepSpec spec, long nowMs) {
        return new StepHead(spec, nowMs, 0, 0, spec.trainerVersion(), List.of(), List.of());
    }

    /** Returns the oldest weight version that may be delivered to a trainer at the given version. */
    long oldestAllowed(long version) {
        return version - spec.maxStaleness();
    }

    /** Raises the trainer's version; a lower version is ignored. */
    StepHead observe(long version) {
        return version <= trainerVersion
                ? this
                : new StepHead(spec, openedMs, position, acknowledged, version, entries, acknowledgements);
    }

    /** Appends a group, unless it is already committed or the attempt is not its next one. */
    StepHead append(String group, int attempt, String digest, long minVersion, long completionTokens) {
        if (liveEntry(group).isPresent() || attempt != nextAttempt(group)) {
            return this;
        }
        List<GroupEntry> next = new ArrayList<>(entries);
        next.add(new GroupEntry(position + 1, group, attempt, digest, minVersion, usageOf(group, completionTokens), 0));
        return new StepHead(spec, openedMs, position + 1, acknowledged, trainerVersion, next, acknowledgements);
    }

    /** Marks all unacknowledged entries that are too old for the trainer's version as replaced. */
    StepHead expire() {
        Predicate<GroupEntry> old =
                e -> e.isLive() && e.seq() > acknowledged && e.minVersion() < oldestAllowed(trainerVersion);
        if (entries.stream().noneMatch(old)) {
            return this;
        }
        List<GroupEntry> next = entries.stream()
                .map(e -> old.test(e) ? e.replaced(position + 1) : e)
                .toList();
        return new StepHead(spec, openedMs, position + 1, acknowledged, trainerVersion, next, acknowledgements);
    }

    /** Returns whether an entry held by a trainer at the cursor was replaced, or the cursor is beyond the log. */
    boolean isOutdated(long cursor) {
        return cursor > position
                || entries.stream()
                        .anyMatch(e -> e.seq() > acknowledged && e.seq() <= cursor && e.replacedAt() > cursor);
    }

    /** Moves the acknowledged cursor forward and records which request moved it. */
    StepHead acknowledge(long cursor, String token) {
        if (cursor <= acknowledged) {
            return this;
        }
        List<AckRecord> moves = new ArrayList<>(acknowledgements);
        moves.add(new AckRecord(acknowledged, cursor, token));
        return new StepHead(spec, openedMs, position, cursor, trainerVersion, entries, moves);
    }

    /** Returns the usage that the request with the token acknowledged, or empty if it did not move the cursor. */
    Optional<DeliveredUsage> deliveredBy(String token) {
        return acknowledgements.stream()
                .filter(a -> a.token().equals(token))
                .findFirst()
                .map(a -> entries.stream()
                        .filter(e -> e.isLive() && e.seq() > a.from() && e.seq() <= a.cursor())
                        .map(GroupEntry::usage)
                        .reduce(DeliveredUsage.NONE, DeliveredUsage::plus));
    }

    private DeliveredUsage usageOf(String group, long completionTokens) {
        long words = spec.groups().stream()
                .filter(g -> g.id().equals(group))
                .mapToLong(g -> GenerationRequest.countTokens(g.prompt()))
                .sum();
        return new DeliveredUsage(spec.samplesPerGroup(), words * spec.samplesPerGroup(), completionTokens);
    }

    /** Returns the live entries after a cursor that are not acknowledged. */
    List<GroupEntry> liveEntriesAfter(long cursor) {
        long from = Math.max(cursor, acknowledged);
        return entries.stream().filter(e -> e.isLive() && e.seq() > from).toList();
    }

    Optional<GroupEntry> liveEntry(String group) {
        return entries.stream()
                .filter(e -> e.group().equals(group) && e.isLive())
                .findFirst();
    }

    int nextAttempt(String group) {
        return (int) entries.stream().filter(e -> e.group().equals(group)).count() + 1;
    }

    /** Returns whether every group is committed. */
    public boolean isComplete() {
        return spec.groups().stream().allMatch(g -> liveEntry(g.id()).isPresent());
    }

    /** Returns whether every group is acknowledged. */
    public boolean isClosed() {
        return spec.groups().stream()
                .allMatch(g ->
                        liveEntry(g.id()).filter(e -> e.seq() <= acknowledged).isPresent());
    }
}
