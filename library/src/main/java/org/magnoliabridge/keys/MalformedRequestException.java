package org.magnoliabridge.keys;

import java.util.Locale;

/** Thrown when part of a request cannot be parsed, so that removal of the key cannot be ensured. */
public final class MalformedRequestException extends Exception {
    private final Part part;

    MalformedRequestException(Part part) {
        super("the request's " + part.name().toLowerCase(Locale.ROOT) + " cannot be read");
        this.part = part;
    }

    /** Returns the part that could not be parsed. */
    public Part part() {
        return part;
    }

    /** The parts of a request that are parsed. */
    public enum Part {
        QUERY,
        BODY,
        /** The content encoding of a JSON body; encoded bodies are not decoded here. */
        ENCODING
    }
}
