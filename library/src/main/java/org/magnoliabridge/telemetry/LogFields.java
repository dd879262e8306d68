package org.magnoliabridge.telemetry;

import com.google.common.flogger.MetadataKey;

/**
 * The structured fields of log lines.
 *
 * <pre>{@code
 * log.atInfo().with(LogFields.SERVICE, service.value()).log("no routable endpoint");
 * }</pre>
 */
public final class LogFields {
    /** The request id on this hop. */
    public static final MetadataKey<String> REQUEST = MetadataKey.single("request_id", String.class);

    /** The W3C trace id. */
    public static final MetadataKey<String> TRACE = MetadataKey.single("trace_id", String.class);

    /** The team. */
    public static final MetadataKey<String> TEAM = MetadataKey.single("team", String.class);

    /** The service. */
    public static final MetadataKey<String> SERVICE = MetadataKey.single("service", String.class);

    /** The batch. */
    public static final MetadataKey<String> BATCH = MetadataKey.single("batch", String.class);

    /** The item of a batch. */
    public static final MetadataKey<String> ITEM = MetadataKey.single("item", String.class);

    /** The endpoint. */
    public static final MetadataKey<String> ENDPOINT = MetadataKey.single("endpoint", String.class);

    /** The remote node. */
    public static final MetadataKey<String> PEER = MetadataKey.single("peer", String.class);

    /** The model whose weights are versioned. */
    public static final MetadataKey<String> MODEL = MetadataKey.single("model", String.class);

    /** The version of a bundle, of weights or of withdrawals. */
    public static final MetadataKey<Long> VERSION = MetadataKey.single("version", Long.class);

    /** A fencing token. */
    public static final MetadataKey<Long> FENCING = MetadataKey.single("fencing", Long.class);

    /** The simple name of a failure type. */
    public static final MetadataKey<String> FAILURE = MetadataKey.single("failure", String.class);

    /** The data centre. */
    public static final MetadataKey<String> DATA_CENTRE = MetadataKey.single("data_centre", String.class);

    /** The age of the data that a decision was based on, in milliseconds. */
    public static final MetadataKey<Long> AGE_MS = MetadataKey.single("age_ms", Long.class);

    /** A count of what the message names. */
    public static final MetadataKey<Long> COUNT = MetadataKey.single("count", Long.class);

    private LogFields() {}
}
