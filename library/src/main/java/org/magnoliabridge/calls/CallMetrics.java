package org.magnoliabridge.calls;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counters of calls to back ends. */
public final class CallMetrics {
    final Counter retries;
    final Counter resumes;
    final Counter retriesRefused;
    final Counter foreignEvents;
    final Counter brokenAnswers;
    final Counter probesFailed;
    final Counter cancels;

    public CallMetrics(MetricRegistry registry) {
        retries = registry.counter("calls.retries");
        resumes = registry.counter("calls.resumes");
        retriesRefused = registry.counter("calls.retries_refused_by_budget");
        foreignEvents = registry.counter("calls.foreign_events_dropped");
        brokenAnswers = registry.counter("calls.broken_answers");
        probesFailed = registry.counter("calls.probes_failed");
        cancels = registry.counter("calls.cancels");
    }
}
