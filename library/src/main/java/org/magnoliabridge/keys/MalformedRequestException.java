package org.magnoliabridge.keys;

import java.util.Locale;

/** Thrown when a request cannot be read, so that no key could be removed from it with certainty. */
public final class MalformedRequestException extends Exception {
    private final Part part;

    MalformedRequestException(Part part) {
        super("the request's " + part.name().toLowerCase(Locale.ROOT) + " cannot be read");
        this.part = part;
    }

    /** Returns the part that is at fault. */
    public Part part() {
        return part;
    }

    /** The parts that are read. */
    public enum Part {
        QUERY,
        BODY,
        /** A JSON body with a content encoding, which is not decoded here. */
        ENCODING
    }
}
