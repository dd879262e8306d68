package org.magnoliabridge.bundle;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/** Lists what differs between two bundles, for operators before and after a roll. */
public final class BundleDiff {
    private BundleDiff() {}

    /** Returns the changes in the order data centres, teams, keys, services, bounds; empty if only versions differ. */
    public static List<Change> between(Bundle before, Bundle after) {
        List<Change> changes = new ArrayList<>();
        compare("data_centres", before.dataCentres(), after.dataCentres(), s -> s.id(), changes);
        compare("teams", before.teams(), after.teams(), t -> t.id(), changes);
        compare("keys", before.keys(), after.keys(), k -> k.id(), changes);
        compare("services", before.services(), after.services(), s -> s.id(), changes);
        compare("bounds", List.of(before.bounds()), List.of(after.bounds()), b -> "all", changes);
        return changes;
    }

    private static <T> void compare(
            String what, List<T> before, List<T> after, Function<T, Object> id, List<Change> changes) {
        Map<Object, T> old = index(before, id);
        Map<Object, T> current = index(after, id);
        old.forEach((key, value) -> {
            if (!Objects.equals(value, current.get(key))) {
                changes.add(new Change(what + "/" + key, Optional.of(value), Optional.ofNullable(current.get(key))));
            }
        });
        current.forEach((key, value) -> {
            if (!old.containsKey(key)) {
                changes.add(new Change(what + "/" + key, Optional.empty(), Optional.of(value)));
            }
        });
    }

    private static <T> Map<Object, T> index(List<T> values, Function<T, Object> id) {
        Map<Object, T> result = new LinkedHashMap<>();
        values.forEach(v -> result.put(id.apply(v), v));
        return result;
    }

    /**
     * One added, removed or changed part.
     *
     * @param name for example {@code teams/anvil}
     */
    public record Change(String name, Optional<Object> before, Optional<Object> after) {
        @Override
        public String toString() {
            return name + ": " + before.map(Object::toString).orElse("absent") + " -> "
                    + after.map(Object::toString).orElse("absent");
        }
    }
}
