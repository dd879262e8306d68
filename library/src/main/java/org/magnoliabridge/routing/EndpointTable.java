package org.magnoliabridge.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliabridge.calls.EndpointSource.Observation;
import org.magnoliabridge.evacuation.Evacuations;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;

/**
 * The states of all endpoints as known to this node. Deterministic and not thread-safe.
 *
 * <p>An incarnation that was observed to be leaving never receives new requests again. Its departure is removed only
 * after it has been missing from the instance list for {@link #RETENTION_MS}; the same id and address then denote a
 * restarted endpoint. An evacuation of a data centre changes no state, so its endpoints are as before when it ends.
 */
public final class EndpointTable {
    static final long RETENTION_MS = 60_000;
    static final long FIRST_BACK_OFF_MS = 1_000;
    static final long MAX_BACK_OFF_MS = 30_000;
    // A single faulty answer may be caused by its connection; three in a row are attributed to the endpoint. If the
    // requests of one team show them, it is taken out for that team only.
    private static final int MAX_FAULTY_ANSWERS = 3;

    private final Map<EndpointId, Entry> entries = new TreeMap<>();
    private final Map<Identity, Long> departures = new HashMap<>();
    private final Set<Identity> listed = new HashSet<>();
    // Asked for several times a second, while states change seldom.
    private final Map<ServiceId, List<Endpoint>> eligible = new HashMap<>();
    private final List<EndpointChange> changes = new ArrayList<>();
    private Evacuations evacuations = Evacuations.NONE;

    private record Identity(EndpointId id, String address, Incarnation incarnation) {}

    private static final class Entry {
        private final Endpoint endpoint;
        private EndpointState state = EndpointState.ROUTABLE;
        private OptionalInt slots = OptionalInt.empty();
        private final TeamFaults teamFaults = new TeamFaults(MAX_FAULTY_ANSWERS, FIRST_BACK_OFF_MS, MAX_BACK_OFF_MS);
        // The teams whose requests have shown faults since the last answer.
        private final Set<TeamId> faultyFor = new HashSet<>();
        private int faultyAnswers;
        // The observation before the last failure.
        private Observation failedBy = Observation.UNREACHABLE;
        private long backOffMs = FIRST_BACK_OFF_MS;
        private long retryAtMs;
        private long unlistedAtMs;

        Entry(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        Identity identity() {
            return new Identity(endpoint.id(), endpoint.address(), endpoint.incarnation());
        }
    }

    /**
     * Applies an input; returns the endpoints that this node has to announce to the other members as leaving, none if
     * their departure was known already.
     */
    public List<Endpoint> apply(EndpointInput input, long nowMs) {
        if (!(input instanceof EndpointInput.Tick)) {
            eligible.clear();
        }
        return switch (input) {
            case EndpointInput.Listed listed -> applyList(listed.endpoints(), nowMs);
            case EndpointInput.Evacuated update -> {
                evacuations = update.evacuations();
                yield List.of();
            }
            case EndpointInput.StopOrdered stop -> markLeaving(entries.get(stop.id()), nowMs);
            case EndpointInput.ReclaimNotice notice -> markLeaving(entries.get(notice.id()), nowMs);
            case EndpointInput.LeavingAnnounced announced -> {
                matching(announced.id(), announced.address())
                        .ifPresentOrElse(
                                e -> markLeaving(e, nowMs),
                                () -> departures.put(
                                        new Identity(announced.id(), announced.address(), new Incarnation(0)), nowMs));
                yield List.of();
            }
            case EndpointInput.Observed observed ->
                matching(observed.id(), observed.address())
                        .map(e -> observe(e, observed, nowMs))
                        .orElse(List.of());
            case EndpointInput.Tick tick -> {
                tick(nowMs);
                yield List.of();
            }
        };
    }

    /** Returns the changes of state since the last call, in order. */
    List<EndpointChange> takeChanges() {
        List<EndpointChange> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }

    /** Returns the state of an endpoint; empty if the table has no entry for it. */
    public Optional<EndpointState> state(EndpointId id) {
        return Optional.ofNullable(entries.get(id)).map(e -> e.state);
    }

    /** Returns all known endpoints with their states, ordered by id. */
    public Map<Endpoint, EndpointState> all() {
        Map<Endpoint, EndpointState> all = new LinkedHashMap<>();
        entries.values().forEach(e -> all.put(e.endpoint, e.state));
        return all;
    }

    /** Returns the endpoints of a service that may receive new requests, ordered by id. */
    public List<Endpoint> eligibleEndpoints(ServiceId service) {
        return eligible.computeIfAbsent(service, this::findEligible);
    }

    private List<Endpoint> findEligible(ServiceId service) {
        return entries.values().stream()
                .filter(e -> e.endpoint.service().equals(service) && isEligible(e))
                .map(e -> e.endpoint)
                .toList();
    }

    /** Returns whether a team's requests should not go to an endpoint while another one can serve them. */
    boolean isTakenOutFor(EndpointId id, TeamId team) {
        Entry entry = entries.get(id);
        return entry != null && entry.teamFaults.isOut(team);
    }

    /** Returns the teams whose requests should not go to an endpoint while another one can serve them. */
    Set<TeamId> takenOutFor(EndpointId id) {
        Entry entry = entries.get(id);
        return entry == null ? Set.of() : entry.teamFaults.teams();
    }

    /** Returns whether a service has endpoints, and all of them are in evacuated data centres. */
    boolean isEvacuated(ServiceId service) {
        if (evacuations.dataCentres().isEmpty()) {
            return false;
        }
        List<Entry> present = entries.values().stream()
                .filter(e -> e.endpoint.service().equals(service) && isPresent(e))
                .toList();
        return !present.isEmpty() && present.stream().noneMatch(e -> evacuations.allows(e.endpoint.dataCentre()));
    }

    /** Returns the maximum number of requests that this node may have in flight at the endpoint. */
    int slots(EndpointId id, int engineSlots) {
        Entry entry = entries.get(id);
        if (entry == null || !isEligible(entry)) {
            return 0;
        }
        return entry.state == EndpointState.PROBATION ? 1 : entry.slots.orElse(engineSlots);
    }

    /** Returns the number of endpoints in each state, for status pages. */
    public Map<EndpointState, Integer> counts() {
        Map<EndpointState, Integer> counts = new TreeMap<>();
        entries.values().forEach(e -> counts.merge(e.state, 1, Integer::sum));
        return counts;
    }

    private List<Endpoint> applyList(Collection<EndpointInput.ListedEndpoint> items, long nowMs) {
        List<Endpoint> leaving = new ArrayList<>();
        Set<EndpointId> listedIds = new HashSet<>();
        listed.clear();
        for (EndpointInput.ListedEndpoint item : items) {
            Endpoint endpoint = item.endpoint();
            listedIds.add(endpoint.id());
            Entry entry = entries.get(endpoint.id());
            if (entry == null || !entry.endpoint.equals(endpoint)) {
                entry = new Entry(endpoint);
                entries.put(endpoint.id(), entry);
            }
            entry.slots = item.slots();
            listed.add(entry.identity());
            if (departures.containsKey(entry.identity())) {
                departures.put(entry.identity(), nowMs);
                entry.state = EndpointState.LEAVING;
            } else if (item.leaving()) {
                leaving.addAll(markLeaving(entry, nowMs));
            } else if (entry.state == EndpointState.UNLISTED) {
                entry.state = EndpointState.ROUTABLE;
            }
        }
        for (Entry entry : entries.values()) {
            if (!listedIds.contains(entry.endpoint.id()) && isPresent(entry)) {
                entry.state = EndpointState.UNLISTED;
                entry.unlistedAtMs = nowMs;
            }
        }
        return leaving;
    }

    private List<Endpoint> markLeaving(Entry entry, long nowMs) {
        if (entry == null || departures.put(entry.identity(), nowMs) != null) {
            return List.of();
        }
        entry.state = EndpointState.LEAVING;
        return List.of(entry.endpoint);
    }

    private List<Endpoint> observe(Entry entry, EndpointInput.Observed observed, long nowMs) {
        Observation observation = observed.observation();
        if (observation == Observation.DRAINING) {
            return markLeaving(entry, nowMs);
        }
        if (entry.state == EndpointState.LEAVING || entry.state == EndpointState.UNLISTED) {
            return List.of();
        }
        switch (observation) {
            case ANSWERED -> {
                observed.team().ifPresent(entry.teamFaults::answered);
                answered(entry, observation);
            }
            case REPORTED_FAILURE -> {
                // Shows that the endpoint can be reached, but not that it serves requests.
                if (entry.state == EndpointState.PROBATION && entry.failedBy == Observation.UNREACHABLE) {
                    answered(entry, observation);
                } else if (isTakenOutForOthers(entry, observed.team())) {
                    fail(entry, observation, nowMs);
                }
            }
            case FAULTY_ANSWER -> {
                entry.faultyAnswers++;
                observed.team().ifPresent(entry.faultyFor::add);
                boolean ofOneTeam = observed.team().isPresent() && entry.faultyFor.size() == 1;
                if (entry.state == EndpointState.PROBATION
                        || (entry.faultyAnswers >= MAX_FAULTY_ANSWERS && !ofOneTeam)) {
                    fail(entry, observation, nowMs);
                } else {
                    observed.team().ifPresent(team -> faultOfTeam(entry, team, nowMs));
                }
            }
            case UNREACHABLE -> {
                entry.faultyAnswers++;
                fail(entry, observation, nowMs);
            }
            default -> throw new IllegalArgumentException(observation + " is no answer and no fault");
        }
        return List.of();
    }

    // Whether the requests of other teams have shown so many faults, without an answer since, that a failure of this
    // team's request is the endpoint's too.
    private static boolean isTakenOutForOthers(Entry entry, Optional<TeamId> team) {
        return entry.faultyAnswers >= MAX_FAULTY_ANSWERS
                && team.filter(t -> !entry.faultyFor.contains(t)).isPresent();
    }

    private void faultOfTeam(Entry entry, TeamId team, long nowMs) {
        OptionalLong backOffMs = entry.teamFaults.fault(team, nowMs);
        if (backOffMs.isPresent()) {
            changes.add(new EndpointChange(
                    entry.endpoint,
                    EndpointState.FAILED,
                    Optional.of(Observation.FAULTY_ANSWER),
                    Optional.of(team),
                    entry.teamFaults.inARow(team),
                    backOffMs.getAsLong()));
        }
    }

    // In FAILED, an answer belongs to a request sent before the failure, so it does not show a recovery.
    private void answered(Entry entry, Observation observation) {
        if (entry.state != EndpointState.FAILED) {
            entry.faultyAnswers = 0;
            entry.faultyFor.clear();
            entry.backOffMs = FIRST_BACK_OFF_MS;
            change(entry, EndpointState.ROUTABLE, Optional.of(observation));
        }
    }

    private void fail(Entry entry, Observation observation, long nowMs) {
        if (entry.state != EndpointState.FAILED) {
            entry.failedBy = observation;
            entry.teamFaults.clear();
            change(entry, EndpointState.FAILED, Optional.of(observation));
            entry.retryAtMs = nowMs + entry.backOffMs;
            entry.backOffMs = Math.min(MAX_BACK_OFF_MS, entry.backOffMs * 2);
        }
    }

    private void change(Entry entry, EndpointState state, Optional<Observation> observation) {
        if (entry.state != state) {
            entry.state = state;
            long backOffMs = state == EndpointState.FAILED ? entry.backOffMs : 0;
            changes.add(new EndpointChange(
                    entry.endpoint, state, observation, Optional.empty(), entry.faultyAnswers, backOffMs));
        }
    }

    private void tick(long nowMs) {
        for (Entry entry : entries.values()) {
            entry.teamFaults
                    .endBackOffs(nowMs)
                    .forEach(team -> changes.add(new EndpointChange(
                            entry.endpoint,
                            EndpointState.PROBATION,
                            Optional.empty(),
                            Optional.of(team),
                            entry.teamFaults.inARow(team),
                            0)));
            if (entry.state == EndpointState.FAILED && nowMs >= entry.retryAtMs) {
                change(entry, EndpointState.PROBATION, Optional.empty());
                eligible.clear();
            }
        }
        // The list is applied only when it changes.
        departures.entrySet().removeIf(d -> !listed.contains(d.getKey()) && nowMs - d.getValue() > RETENTION_MS);
        entries.values().removeIf(e -> e.state == EndpointState.LEAVING && !departures.containsKey(e.identity()));
        entries.values().removeIf(e -> e.state == EndpointState.UNLISTED && nowMs - e.unlistedAtMs > RETENTION_MS);
    }

    // Neither leaving nor unlisted.
    private static boolean isPresent(Entry entry) {
        return entry.state != EndpointState.LEAVING && entry.state != EndpointState.UNLISTED;
    }

    private Optional<Entry> matching(EndpointId id, String address) {
        return Optional.ofNullable(entries.get(id))
                .filter(e -> e.endpoint.address().equals(address));
    }

    private boolean isEligible(Entry entry) {
        boolean serving = entry.state == EndpointState.ROUTABLE || entry.state == EndpointState.PROBATION;
        return serving && evacuations.allows(entry.endpoint.dataCentre());
    }
}
