package org.magnoliabridge.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.magnoliabridge.memory.ByteBudget.Claim;

/**
 * Chooses the claims that give way to those that wait, at one time.
 *
 * <p>Load pattern: bodies that stop short of their end and stay open, and answers that nobody reads. The longest
 * without progress goes first, but only where its bytes let a waiting claim in. An origin that holds over half of the
 * limit gives way before others, and others do not give way to it, so that one caller with many connections displaces
 * only itself.
 */
final class Evictions {
    private final long nowMs;
    private final List<Claim> claims;
    private final long halfBytes;
    private final Set<Claim> chosen = new LinkedHashSet<>();
    private long freeBytes;
    private long largeFreeBytes;

    Evictions(long nowMs, List<Claim> claims, long freeBytes, long largeFreeBytes, long halfBytes) {
        this.nowMs = nowMs;
        this.claims = claims;
        this.halfBytes = halfBytes;
        this.freeBytes = freeBytes;
        this.largeFreeBytes = largeFreeBytes;
        claims.stream().filter(c -> c.isLeaving(nowMs)).forEach(this::expect);
    }

    /** Returns the claims that give way, for waiting claims in the order in which they are to be served. */
    Set<Claim> choose(List<Claim> waiting, ToLongFunction<Claim> heldByOrigin) {
        List<Claim> stalled = claims.stream()
                .filter(c -> c.isStalled(nowMs))
                .sorted(Comparator.<Claim, Boolean>comparing(c -> heldByOrigin.applyAsLong(c) <= halfBytes)
                        .thenComparingLong(Claim::progressMs)
                        .thenComparingLong(c -> c.id().value()))
                .toList();
        for (Claim claim : waiting) {
            boolean dominant = heldByOrigin.applyAsLong(claim) > halfBytes;
            makeRoom(
                    claim,
                    stalled.stream()
                            .filter(s -> !chosen.contains(s))
                            .filter(s -> !dominant || s.origin().equals(claim.origin())));
        }
        return chosen;
    }

    private void makeRoom(Claim claim, Stream<Claim> candidates) {
        List<Claim> leaving = new ArrayList<>();
        long missing = claim.askedBytes() - freeBytes;
        long newLarge = claim.newLargeBytesIfGranted();
        long missingLarge = newLarge == 0 ? 0 : newLarge - largeFreeBytes;
        for (Claim candidate : (Iterable<Claim>) candidates::iterator) {
            if (missing <= 0 && missingLarge <= 0) {
                break;
            }
            leaving.add(candidate);
            missing -= candidate.bytes();
            missingLarge -= candidate.largeBytes();
        }
        if (missing > 0 || missingLarge > 0) {
            return;
        }
        needed(leaving, -missing, -missingLarge).forEach(c -> {
            expect(c);
            chosen.add(c);
        });
        freeBytes -= claim.askedBytes();
        largeFreeBytes -= newLarge;
    }

    /** Leaves out claims without which the others make room enough, the most recent progress first. */
    private static List<Claim> needed(List<Claim> leaving, long surplus, long largeSurplus) {
        List<Claim> needed = new ArrayList<>();
        long spare = surplus;
        long largeSpare = largeSurplus;
        for (Claim candidate : leaving.reversed()) {
            if (candidate.bytes() <= spare && candidate.largeBytes() <= largeSpare) {
                spare -= candidate.bytes();
                largeSpare -= candidate.largeBytes();
            } else {
                needed.addFirst(candidate);
            }
        }
        return needed;
    }

    private void expect(Claim leaving) {
        freeBytes += leaving.bytes();
        largeFreeBytes += leaving.largeBytes();
    }
}
