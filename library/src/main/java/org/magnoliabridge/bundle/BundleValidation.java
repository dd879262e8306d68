package org.magnoliabridge.bundle;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.settings.SettingsException.Kind;

/** Checks a bundle as a whole: unique ids, references that resolve, and values within range. */
public final class BundleValidation {
    static final long MAX_WEIGHT = 1_000;
    static final long MAX_TOKENS_PER_SECOND = 100_000_000;
    static final long MAX_BODY_BYTES = 64 << 20;
    static final long MAX_STALENESS = 1_000;
    static final long MAX_ENGINE_SLOTS = 10_000;
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}|\\*");
    private static final Pattern PATH = Pattern.compile("/[\\x21-\\x7e&&[^?#]]{0,255}");

    private final Bundle bundle;
    private final List<BundleProblem> problems = new ArrayList<>();

    private BundleValidation(Bundle bundle) {
        this.bundle = bundle;
    }

    /** Throws an exception that lists all faults, if the bundle has any. */
    public static void check(Bundle bundle) throws InvalidBundleException {
        List<BundleProblem> found = problems(bundle);
        if (!found.isEmpty()) {
            throw new InvalidBundleException(found);
        }
    }

    /** Returns all faults; empty if the bundle is valid. */
    public static List<BundleProblem> problems(Bundle bundle) {
        BundleValidation validation = new BundleValidation(bundle);
        validation.run();
        return validation.problems;
    }

    private void run() {
        range("version", bundle.version().value(), 1, Long.MAX_VALUE);
        checkUnique(
                "data_centres",
                bundle.dataCentres().stream().map(Bundle.Site::id).toList());
        checkUnique("teams", bundle.teams().stream().map(Team::id).toList());
        checkUnique("services", bundle.services().stream().map(Service::id).toList());
        checkUnique("keys", bundle.keys().stream().map(k -> k.id()).toList());
        checkTeams();
        checkKeys();
        for (int i = 0; i < bundle.services().size(); i++) {
            checkRoutes("services[" + i + "].routes", bundle.services().get(i).routes());
        }
        range("bounds.max_body_bytes", bundle.bounds().maxBodyBytes(), 1, MAX_BODY_BYTES);
        range("bounds.max_staleness", bundle.bounds().maxStaleness(), 0, MAX_STALENESS);
        range("bounds.engine_slots", bundle.bounds().engineSlots(), 1, MAX_ENGINE_SLOTS);
    }

    private void checkTeams() {
        Set<ServiceId> services = bundle.services().stream().map(Service::id).collect(Collectors.toSet());
        for (int i = 0; i < bundle.teams().size(); i++) {
            Team team = bundle.teams().get(i);
            String field = "teams[" + i + "]";
            range(field + ".weight", team.weight(), 1, MAX_WEIGHT);
            range(field + ".tokens_per_second", team.tokensPerSecond(), 1, MAX_TOKENS_PER_SECOND);
            for (int j = 0; j < team.services().size(); j++) {
                ServiceId service = team.services().get(j);
                if (!services.contains(service)) {
                    add(Kind.DANGLING, field + ".services[" + j + "]", "there is no service " + service);
                }
            }
        }
    }

    private void checkKeys() {
        Set<TeamId> teams = bundle.teams().stream().map(Team::id).collect(Collectors.toSet());
        for (int i = 0; i < bundle.keys().size(); i++) {
            TeamId team = bundle.keys().get(i).team();
            if (!teams.contains(team)) {
                add(Kind.DANGLING, "keys[" + i + "].team", "there is no team " + team);
            }
        }
    }

    private void checkRoutes(String field, List<Route> routes) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < routes.size(); i++) {
            Route route = routes.get(i);
            String name = field + "[" + i + "]";
            if (!METHOD.matcher(route.method()).matches()) {
                add(Kind.INVALID, name + ".method", "expected an upper-case method or *");
            }
            checkPath(name + ".path_prefix", route.pathPrefix());
            route.outcomePath().ifPresent(p -> checkPath(name + ".outcome_path", p));
            if (!seen.add(route.method() + " " + route.pathPrefix())) {
                add(Kind.DUPLICATE, name, route.method() + " " + route.pathPrefix() + " occurs twice");
            }
        }
    }

    private void checkPath(String field, String path) {
        if (!PATH.matcher(path).matches() || path.contains("..")) {
            add(Kind.INVALID, field, "expected a path that starts with a slash, without query and without ..");
        }
    }

    private void checkUnique(String field, List<?> ids) {
        Set<Object> seen = new HashSet<>();
        for (int i = 0; i < ids.size(); i++) {
            if (!seen.add(ids.get(i))) {
                add(Kind.DUPLICATE, field + "[" + i + "].id", ids.get(i) + " occurs twice");
            }
        }
    }

    private void range(String field, long value, long min, long max) {
        if (value < min || value > max) {
            add(Kind.OUT_OF_RANGE, field, value + " is not within " + min + " to " + max);
        }
    }

    private void add(Kind kind, String field, String detail) {
        problems.add(new BundleProblem(kind, field, detail));
    }
}
