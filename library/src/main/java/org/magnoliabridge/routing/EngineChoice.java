package org.magnoliabridge.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;

/**
 * Chooses the engine for a request: the cheapest of two random engines and the engine that is likely to have the
 * prompt's prefix in its cache.
 *
 * <p>The random candidates keep nodes, which choose without coordination, from all choosing the same engine. Nodes
 * agree on the engine of a prefix by rendezvous hashing. The result depends only on the arguments and the random
 * generator.
 */
public final class EngineChoice {
    /** The engine with the prefix is a candidate only while its load is at most this multiple of the mean load. */
    static final double MAX_AFFINITY_LOAD_FACTOR = 1.25;
    // Approximate cost of processing a prompt token, relative to generating a token.
    private static final double PREFILL_TOKEN_COST = 0.25;

    private EngineChoice() {}

    /**
     * An engine that may serve the request.
     *
     * @param load estimated load in tokens
     * @param free whether this node has a free slot on it
     * @param reportsPrefix whether its last report lists the prompt's prefix as cached
     * @param preferred whether its last report has the weights that the request is to continue with
     */
    public record Candidate(Endpoint endpoint, double load, boolean free, boolean reportsPrefix, boolean preferred) {}

    /** The properties of a request that affect the choice. */
    public record Request(DataCentre ownDataCentre, String prefix, int promptTokens) {}

    /** Returns the chosen engine; empty if no engine has a free slot. */
    public static Optional<Endpoint> choose(List<Candidate> all, Request request, RandomGenerator random) {
        List<Candidate> nearby = preferOwnDataCentre(all, request.ownDataCentre());
        List<Candidate> free = nearby.stream().filter(Candidate::free).toList();
        List<Candidate> preferred = free.stream().filter(Candidate::preferred).toList();
        List<Candidate> pool = preferred.isEmpty() ? free : preferred;
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        double mean = nearby.stream().mapToDouble(Candidate::load).average().orElse(0);
        Optional<EndpointId> affinityEngine = affinityEngine(nearby, request.prefix());
        List<Candidate> drawn = twoRandom(pool, random);
        pool.stream()
                .filter(c -> likelyHasPrefix(c, affinityEngine) && c.load() <= MAX_AFFINITY_LOAD_FACTOR * mean)
                .min(Comparator.comparingDouble(Candidate::load))
                .ifPresent(drawn::add);
        return drawn.stream()
                .min(Comparator.comparingDouble(c -> cost(c, affinityEngine, request)))
                .map(Candidate::endpoint);
    }

    private static List<Candidate> preferOwnDataCentre(List<Candidate> all, DataCentre ownDataCentre) {
        List<Candidate> nearby = all.stream()
                .filter(c -> c.endpoint().dataCentre().equals(ownDataCentre))
                .toList();
        return nearby.stream().anyMatch(Candidate::free) ? nearby : all;
    }

    private static List<Candidate> twoRandom(List<Candidate> pool, RandomGenerator random) {
        int first = random.nextInt(pool.size());
        List<Candidate> drawn = new ArrayList<>(List.of(pool.get(first)));
        if (pool.size() > 1) {
            int second = random.nextInt(pool.size() - 1);
            drawn.add(pool.get(second >= first ? second + 1 : second));
        }
        return drawn;
    }

    private static double cost(Candidate candidate, Optional<EndpointId> affinityEngine, Request request) {
        double prefill = likelyHasPrefix(candidate, affinityEngine) ? 0 : request.promptTokens() * PREFILL_TOKEN_COST;
        return candidate.load() + prefill;
    }

    private static boolean likelyHasPrefix(Candidate candidate, Optional<EndpointId> affinityEngine) {
        return candidate.reportsPrefix()
                || affinityEngine.filter(candidate.endpoint().id()::equals).isPresent();
    }

    private static Optional<EndpointId> affinityEngine(List<Candidate> nearby, String prefix) {
        if (prefix.isEmpty()) {
            return Optional.empty();
        }
        return nearby.stream()
                .map(c -> c.endpoint().id())
                .max(Comparator.<EndpointId>comparingLong(id -> hash(prefix, id))
                        .thenComparing(Comparator.naturalOrder()));
    }

    // 64-bit FNV-1a with a final mixing step, so that similar ids are distributed evenly.
    private static long hash(String prefix, EndpointId id) {
        long hash = 0xcbf29ce484222325L;
        String text = prefix + "/" + id.value();
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        return hash ^ (hash >>> 33);
    }
}
