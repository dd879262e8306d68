package org.magnoliabridge.edge;

/** The HTTP ports of a node, each with room for connections of its own. */
public enum ServerPort {
    CALLERS,
    READINESS,
    DIRECTORY,
    METRICS
}
