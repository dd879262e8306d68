package org.magnoliabridge.external;

import java.util.Objects;
import org.magnoliabridge.ids.DataCentre;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ServiceId;

/** The desired state of one endpoint; absolute, so an order may be repeated. */
public record EndpointOrder(EndpointId endpoint, DataCentre dc, ServiceId service, Kind kind, boolean running) {
    public EndpointOrder {
        Objects.requireNonNull(endpoint);
        Objects.requireNonNull(dc);
        Objects.requireNonNull(service);
        Objects.requireNonNull(kind);
    }

    /** Price class of an endpoint. */
    public enum Kind {
        /** Runs until it is stopped. */
        STANDARD("standard"),
        /** Cheaper; the platform may take it back on a few seconds' notice. */
        RECLAIMABLE("reclaimable");

        private final String wireName;

        Kind(String word) {
            this.wireName = word;
        }

        /** Returns the word that stands for this kind in the order interface. */
        public String wireName() {
            return wireName;
        }

        /**
         * Returns the kind that a word stands for.
         *
         * @throws IllegalArgumentException if there is no such kind
         */
        public static Kind of(String word) {
            for (Kind kind : values()) {
                if (kind.wireName.equals(word)) {
                    return kind;
                }
            }
            throw new IllegalArgumentException("unknown kind of endpoint: " + word);
        }
    }
}
