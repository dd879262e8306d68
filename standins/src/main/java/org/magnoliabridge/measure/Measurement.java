package org.magnoliabridge.measure;

/** Measures one figure of the real code at several sizes, in memory and without sockets. */
interface Measurement {
    /** Takes the figures and fits the line. */
    Slope run();
}
