package org.magnoliabridge.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Divides a number of bytes among the requests and answers that a node holds for others.
 *
 * <p>Load pattern: callers send many large bodies at once, stop short of their end and keep the connections open, or do
 * not read their answers, beside ordinary requests. Bytes are therefore granted before they are read. What has no room
 * waits for a bounded time; claims up to {@link #SMALL_BYTES} have room of their own. While others wait, claims without
 * progress give way. Nothing gives way while nothing waits, so that a slow body is served in calm.
 */
final class ByteBudget {
    /** The size in bytes up to which a claim is small. */
    static final int SMALL_BYTES = 64 * 1024;

    /** The time without progress after which a request that has not run gives way to others, in milliseconds. */
    static final long STALL_MS = 1_000;

    /**
     * The time without progress after which an answer gives way to others, in milliseconds; what ran is lost with it,
     * so that a caller or connection that pauses shortly keeps it.
     */
    static final long ANSWER_STALL_MS = 5_000;

    /** The time in which an evicted claim is expected to be released, in milliseconds. */
    static final long LEAVE_MS = 1_000;

    /** The least limit, in bytes. */
    static final long MIN_LIMIT_BYTES = 8L * SMALL_BYTES;

    // The part of the limit that only small claims use.
    private static final int SMALL_ROOM_SHARE = 8;

    private final long limitBytes;
    private final Map<ClaimId, Claim> claims = new HashMap<>();
    // In the order of asking.
    private final Map<ClaimId, Claim> waiting = new LinkedHashMap<>();
    private final Map<String, Long> originBytes = new HashMap<>();
    private final Map<Holding, Long> holdingBytes = new EnumMap<>(Holding.class);
    private long grantedBytes;
    private long largeBytes;

    /**
     * Creates a budget without claims.
     *
     * @param limitBytes limit on the bytes of all claims together, at least {@link #MIN_LIMIT_BYTES}
     */
    ByteBudget(long limitBytes) {
        if (limitBytes < MIN_LIMIT_BYTES) {
            throw new IllegalArgumentException(
                    "limitBytes must be at least " + MIN_LIMIT_BYTES + ", got " + limitBytes);
        }
        this.limitBytes = limitBytes;
    }

    /** Handles an input; returns the decisions in order. Inputs about claims that have ended have no effect. */
    List<BudgetEffect> on(long nowMs, BudgetInput input) {
        List<BudgetEffect> effects = new ArrayList<>();
        switch (input) {
            case BudgetInput.Open open -> claims.put(open.claim(), new Claim(open, nowMs));
            case BudgetInput.Ask ask -> find(ask.claim()).ifPresent(c -> ask(nowMs, c, ask, effects));
            case BudgetInput.Withdraw withdraw ->
                Optional.ofNullable(waiting.get(withdraw.claim()))
                        .ifPresent(c -> refuse(c, BudgetEffect.Reason.NO_ROOM, effects));
            case BudgetInput.Progress progress -> find(progress.claim()).ifPresent(c -> c.progressMs = nowMs);
            case BudgetInput.Move move -> move(nowMs, move, effects);
            case BudgetInput.Release release -> release(nowMs, release.claim(), effects);
            case BudgetInput.Tick tick -> tick(nowMs, effects);
        }
        return effects;
    }

    /** Returns the limit on the bytes of all claims together. */
    long limitBytes() {
        return limitBytes;
    }

    /** Returns the bytes that all claims hold together. */
    long grantedBytes() {
        return grantedBytes;
    }

    /** Returns the bytes that the claims of one kind hold together. */
    long grantedBytes(Holding holding) {
        return holdingBytes.getOrDefault(holding, 0L);
    }

    /** Returns the bytes that a claim holds, or 0 if it has ended. */
    long grantedBytes(ClaimId claim) {
        return find(claim).map(c -> c.bytes).orElse(0L);
    }

    /** Returns the number of claims that wait for room. */
    int waiting() {
        return waiting.size();
    }

    private Optional<Claim> find(ClaimId id) {
        return Optional.ofNullable(claims.get(id));
    }

    private void ask(long nowMs, Claim claim, BudgetInput.Ask ask, List<BudgetEffect> effects) {
        if (ask.bytes() < 0) {
            throw new IllegalArgumentException("bytes must not be negative, got " + ask.bytes());
        }
        if (waiting.containsKey(claim.id)) {
            throw new IllegalStateException("a claim waits for one request at a time");
        }
        claim.progressMs = nowMs;
        claim.askedBytes = ask.bytes();
        claim.untilMs = nowMs + ask.waitMs();
        if (claim.isEvicted()) {
            refuse(claim, BudgetEffect.Reason.EVICTED, effects);
        } else if (ask.bytes() > maxBytes(claim) - claim.bytes) {
            refuse(claim, BudgetEffect.Reason.NEVER_FITS, effects);
        } else if (fits(claim, limitBytes - grantedBytes, largeRoom())) {
            grant(nowMs, claim, effects);
        } else if (ask.waitMs() <= 0) {
            refuse(claim, BudgetEffect.Reason.NO_ROOM, effects);
        } else {
            waiting.put(claim.id, claim);
        }
    }

    private long maxBytes(Claim claim) {
        return isSmall(claim) ? SMALL_BYTES : maxLargeBytes();
    }

    private long maxLargeBytes() {
        return limitBytes - limitBytes / SMALL_ROOM_SHARE;
    }

    private long largeRoom() {
        return maxLargeBytes() - largeBytes;
    }

    /** Returns whether a claim is still small with the bytes that it asks for. */
    private static boolean isSmall(Claim claim) {
        return claim.askedBytes <= SMALL_BYTES - claim.bytes;
    }

    /** Returns the bytes of a claim that count as large if they are granted, and did not before. */
    private static long newLargeBytes(Claim claim) {
        if (isSmall(claim)) {
            return 0;
        }
        return claim.bytes > SMALL_BYTES ? claim.askedBytes : claim.bytes + claim.askedBytes;
    }

    private static boolean fits(Claim claim, long freeBytes, long largeFreeBytes) {
        return claim.askedBytes <= freeBytes && (isSmall(claim) || newLargeBytes(claim) <= largeFreeBytes);
    }

    private void grant(long nowMs, Claim claim, List<BudgetEffect> effects) {
        waiting.remove(claim.id);
        largeBytes += newLargeBytes(claim);
        add(claim, claim.askedBytes);
        claim.askedBytes = 0;
        claim.progressMs = nowMs;
        effects.add(new BudgetEffect.Granted(claim.id));
    }

    private void refuse(Claim claim, BudgetEffect.Reason reason, List<BudgetEffect> effects) {
        waiting.remove(claim.id);
        claim.askedBytes = 0;
        effects.add(new BudgetEffect.Refused(claim.id, reason));
    }

    private void release(long nowMs, ClaimId id, List<BudgetEffect> effects) {
        Claim claim = claims.remove(id);
        if (claim == null) {
            return;
        }
        waiting.remove(id);
        largeBytes -= claim.largeBytes();
        add(claim, -claim.bytes);
        grantWaiting(nowMs, effects);
    }

    private void move(long nowMs, BudgetInput.Move move, List<BudgetEffect> effects) {
        Claim from = claims.get(move.from());
        Claim to = claims.get(move.to());
        if (from == null || to == null) {
            return;
        }
        if (to.bytes > 0 || to.askedBytes > 0) {
            throw new IllegalStateException("bytes are moved to a new claim only");
        }
        long bytes = from.bytes;
        waiting.remove(move.from());
        claims.remove(move.from());
        add(from, -bytes);
        add(to, bytes);
        to.progressMs = nowMs;
        if (from.isEvicted()) {
            evict(nowMs, to, effects);
        }
    }

    private void add(Claim claim, long bytes) {
        claim.bytes += bytes;
        grantedBytes += bytes;
        holdingBytes.merge(claim.holding, bytes, Long::sum);
        originBytes.compute(claim.origin, (o, held) -> {
            long sum = (held == null ? 0 : held) + bytes;
            return sum == 0 ? null : sum;
        });
    }

    private void grantWaiting(long nowMs, List<BudgetEffect> effects) {
        Optional<Claim> next = nextThatFits();
        while (next.isPresent()) {
            grant(nowMs, next.get(), effects);
            next = nextThatFits();
        }
    }

    private Optional<Claim> nextThatFits() {
        return waiting.values().stream()
                .filter(c -> fits(c, limitBytes - grantedBytes, largeRoom()))
                .min(Comparator.comparingLong(this::heldByOrigin));
    }

    private long heldByOrigin(Claim claim) {
        return originBytes.getOrDefault(claim.origin, 0L);
    }

    private void tick(long nowMs, List<BudgetEffect> effects) {
        for (Claim claim : List.copyOf(waiting.values())) {
            if (nowMs >= claim.untilMs) {
                refuse(claim, BudgetEffect.Reason.NO_ROOM, effects);
            }
        }
        if (waiting.isEmpty()) {
            return;
        }
        List<Claim> inOrder = new ArrayList<>(waiting.values());
        inOrder.sort(Comparator.comparingLong(this::heldByOrigin));
        new Evictions(nowMs, List.copyOf(claims.values()), limitBytes - grantedBytes, largeRoom(), limitBytes / 2)
                .choose(inOrder, this::heldByOrigin)
                .forEach(c -> evict(nowMs, c, effects));
    }

    private static void evict(long nowMs, Claim claim, List<BudgetEffect> effects) {
        claim.evictedMs = Optional.of(nowMs);
        effects.add(new BudgetEffect.Evicted(claim.id));
    }

    /** The state of one claim. */
    static final class Claim {
        private final ClaimId id;
        private final Holding holding;
        private final String origin;
        private final boolean evictable;
        private long bytes;
        private long askedBytes;
        private long untilMs;
        private long progressMs;
        private Optional<Long> evictedMs = Optional.empty();

        private Claim(BudgetInput.Open open, long nowMs) {
            this.id = open.claim();
            this.holding = open.holding();
            this.origin = open.origin();
            this.evictable = open.evictable();
            this.progressMs = nowMs;
        }

        ClaimId id() {
            return id;
        }

        String origin() {
            return origin;
        }

        long bytes() {
            return bytes;
        }

        long askedBytes() {
            return askedBytes;
        }

        long largeBytes() {
            return bytes > SMALL_BYTES ? bytes : 0;
        }

        long newLargeBytesIfGranted() {
            return newLargeBytes(this);
        }

        long progressMs() {
            return progressMs;
        }

        boolean isEvicted() {
            return evictedMs.isPresent();
        }

        boolean isStalled(long nowMs) {
            boolean waits = askedBytes > 0;
            return evictable && bytes > 0 && !waits && !isEvicted() && nowMs - progressMs >= stallMs();
        }

        /** Returns whether the claim was told to give way so recently that its bytes can be expected back. */
        boolean isLeaving(long nowMs) {
            return evictedMs.isPresent() && nowMs - evictedMs.get() < LEAVE_MS;
        }

        private long stallMs() {
            return switch (holding) {
                case REQUEST_BODY, BATCH_ITEMS -> STALL_MS;
                case RECEIVED_ANSWER, CALLER_ANSWER, BATCH_READ -> ANSWER_STALL_MS;
            };
        }
    }
}
