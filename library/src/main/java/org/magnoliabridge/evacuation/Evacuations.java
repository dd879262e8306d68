package org.magnoliabridge.evacuation;

import java.util.Set;
import org.magnoliabridge.ids.DataCentre;

/**
 * What a node knows of the evacuations in force.
 *
 * @param known whether they have been read at least once
 * @param dataCentres the evacuated data centres; empty while they are not known
 */
public record Evacuations(boolean known, Set<DataCentre> dataCentres) {
    /** No data centre is evacuated. */
    public static final Evacuations NONE = new Evacuations(true, Set.of());

    /** The evacuations have not been read yet. */
    public static final Evacuations UNKNOWN = new Evacuations(false, Set.of());

    public Evacuations {
        dataCentres = Set.copyOf(dataCentres);
    }

    /** Returns whether endpoints in a data centre may get new work; none may while the evacuations are not known. */
    public boolean allows(DataCentre dc) {
        return known && !dataCentres.contains(dc);
    }
}
