package org.magnoliabridge.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;

/**
 * Chooses the engine of a request: the cheapest of two random ones and the one that likely has the prompt's prefix.
 *
 * <p>Two random candidates keep nodes that don't talk to each other from all choosing the same engine. Nodes agree on
 * the likely engine of a prefix by rendezvous hash. Pure, apart from the random generator it is given.
 */
public final class EngineChoice {
    /** The engine with the prefix is a candidate only up to this multiple of the mean load. */
    static final double MAX_AFFINITY_LOAD_FACTOR = 1.25;
    // Reading a prompt token costs a batch about this part of generating one.
    private static final double PREFILL_TOKEN_COST = 0.25;

    private EngineChoice() {}

    /**
     * An engine that could take the request.
     *
     * @param load estimate in tokens
     * @param free whether this node may send it another request
     * @param reportsPrefix whether it last reported the prompt's prefix as cached
     * @param preferred whether it has the weights that the request continues with
     */
    public record Candidate(Endpoint endpoint, double load, boolean free, boolean reportsPrefix, boolean preferred) {}

    /** What is chosen for. */
    public record Request(DataCentre ownDataCentre, String prefix, int promptTokens) {}

    /** Returns the chosen engine; empty if none is free. */
    public static Optional<Endpoint> choose(List<Candidate> all, Request request, RandomGenerator random) {
        List<Candidate> near = preferOwnDataCentre(all, request.ownDataCentre());
        List<Candidate> free = near.stream().filter(Candidate::free).toList();
        List<Candidate> same = free.stream().filter(Candidate::preferred).toList();
        List<Candidate> pool = same.isEmpty() ? free : same;
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        double mean = near.stream().mapToDouble(Candidate::load).average().orElse(0);
        Optional<EndpointId> home = affinityEngine(near, request.prefix());
        List<Candidate> drawn = twoRandom(pool, random);
        pool.stream()
                .filter(c -> likelyHasPrefix(c, home) && c.load() <= MAX_AFFINITY_LOAD_FACTOR * mean)
                .min(Comparator.comparingDouble(Candidate::load))
                .ifPresent(drawn::add);
        return drawn.stream()
                .min(Comparator.comparingDouble(c -> cost(c, home, request)))
                .map(Candidate::endpoint);
    }

    private static List<Candidate> preferOwnDataCentre(List<Candidate> all, DataCentre own) {
        List<Candidate> near =
                all.stream().filter(c -> c.endpoint().dataCentre().equals(own)).toList();
        return near.stream().anyMatch(Candidate::free) ? near : all;
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

    private static double cost(Candidate candidate, Optional<EndpointId> home, Request request) {
        double prefill = likelyHasPrefix(candidate, home) ? 0 : request.promptTokens() * PREFILL_TOKEN_COST;
        return candidate.load() + prefill;
    }

    private static boolean likelyHasPrefix(Candidate candidate, Optional<EndpointId> home) {
        return candidate.reportsPrefix()
                || home.filter(candidate.endpoint().id()::equals).isPresent();
    }

    private static Optional<EndpointId> affinityEngine(List<Candidate> near, String prefix) {
        if (prefix.isEmpty()) {
            return Optional.empty();
        }
        return near.stream()
                .map(c -> c.endpoint().id())
                .max(Comparator.<EndpointId>comparingLong(id -> hash(prefix, id))
                        .thenComparing(Comparator.naturalOrder()));
    }

    // A 64-bit FNV-1a hash with a final mix, so that similar ids spread evenly.
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
