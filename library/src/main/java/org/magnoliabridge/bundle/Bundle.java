package org.magnoliabridge.bundle;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.magnoliabridge.ids.BundleVersion;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.Region;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.keys.KeyEntry;

/**
 * The configuration that all nodes share; immutable and applied only as a whole.
 *
 * <p>{@link BundleJson} reads and writes it, {@link BundleValidation} checks it.
 */
public record Bundle(
        BundleVersion version,
        List<Site> dataCentres,
        List<Team> teams,
        List<KeyEntry> keys,
        List<Service> services,
        Bounds bounds) {
    public Bundle {
        Objects.requireNonNull(version);
        Objects.requireNonNull(bounds);
        dataCentres = List.copyOf(dataCentres);
        teams = List.copyOf(teams);
        keys = List.copyOf(keys);
        services = List.copyOf(services);
    }

    /** Returns the team with this id. */
    public Optional<Team> team(TeamId id) {
        return teams.stream().filter(t -> t.id().equals(id)).findFirst();
    }

    /** Returns the service with this id. */
    public Optional<Service> service(ServiceId id) {
        return services.stream().filter(s -> s.id().equals(id)).findFirst();
    }

    /** Returns the region of a data centre. */
    public Optional<Region> region(DataCentre id) {
        return dataCentres.stream()
                .filter(s -> s.id().equals(id))
                .map(Site::region)
                .findFirst();
    }

    /** Returns whether the team may call the service. */
    public boolean allows(TeamId team, ServiceId service) {
        return team(team).map(t -> t.services().contains(service)).orElse(false);
    }

    /** Returns the same content under another version. */
    public Bundle withVersion(BundleVersion other) {
        return new Bundle(other, dataCentres, teams, keys, services, bounds);
    }

    /** Returns the same bundle with other keys. */
    public Bundle withKeys(List<KeyEntry> other) {
        return new Bundle(version, dataCentres, teams, other, services, bounds);
    }

    /** A data centre and the region it belongs to. */
    public record Site(DataCentre id, Region region) {
        public Site {
            Objects.requireNonNull(id);
            Objects.requireNonNull(region);
        }
    }
}
