package org.magnoliabridge.external;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliabridge.http.HttpAnswer;
import org.magnoliabridge.http.HttpCall;
import org.magnoliabridge.http.HttpCaller;
import org.magnoliabridge.http.HttpLimits;

/**
 * The object API over HTTP.
 *
 * <pre>{@code
 * ObjectStore store = new HttpObjectStore(caller, address, HttpLimits.total(2_000));
 * Optional<StoredObject> head = store.read(new ObjectKey("bundles/head"));
 * }</pre>
 */
public final class HttpObjectStore implements ObjectStore {
    // The store answers a watch by the end of its wait; the slack covers the network round trip.
    private static final long WATCH_SLACK_MS = 1_000;

    private final PlatformHttp http;
    private final HttpLimits limits;

    public HttpObjectStore(HttpCaller caller, InetSocketAddress target, HttpLimits limits) {
        this.http = new PlatformHttp(caller, target, limits);
        this.limits = limits;
    }

    @Override
    public Optional<StoredObject> read(ObjectKey key) throws PlatformException {
        HttpAnswer answer = http.read(http.get(path(key)));
        return switch (answer.status()) {
            case 200 -> Optional.of(new StoredObject(key, version(answer), answer.body()));
            case 404 -> Optional.empty();
            default -> throw PlatformHttp.rejected(answer);
        };
    }

    @Override
    public long write(ObjectKey key, long expectedVersion, byte[] value) throws PlatformException {
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException("value of " + key + " is larger than " + MAX_VALUE_BYTES + " bytes");
        }
        HttpAnswer answer = http.change(conditional(http.send("PUT", path(key), value), expectedVersion));
        return switch (answer.status()) {
            case 200, 201 -> writtenVersion(answer);
            case 404, 412 -> throw new PlatformException.VersionConflict(key, expectedVersion);
            default -> throw PlatformHttp.rejected(answer);
        };
    }

    // The write took effect, so an answer without a valid version must not be reported as a failed write.
    private static long writtenVersion(HttpAnswer answer) throws PlatformException {
        try {
            return version(answer);
        } catch (PlatformException.Malformed e) {
            throw new PlatformException.OutcomeUnknown(e.getMessage(), e);
        }
    }

    @Override
    public void delete(ObjectKey key, long expectedVersion) throws PlatformException {
        HttpAnswer answer = http.change(conditional(http.send("DELETE", path(key), new byte[0]), expectedVersion));
        switch (answer.status()) {
            case 200, 204 -> {}
            case 404, 412 -> throw new PlatformException.VersionConflict(key, expectedVersion);
            default -> throw PlatformHttp.rejected(answer);
        }
    }

    @Override
    public Listing list(String prefix) throws PlatformException {
        HttpAnswer answer = http.read(http.get("/list?prefix=" + PlatformHttp.query(prefix)));
        return listing(PlatformHttp.json(answer), "objects");
    }

    @Override
    public Listing watch(String prefix, long sinceRevision, long waitMs) throws PlatformException {
        HttpCall call = http.get(
                "/watch?prefix=" + PlatformHttp.query(prefix) + "&since=" + sinceRevision + "&wait_ms=" + waitMs);
        long firstByteMs = waitMs + WATCH_SLACK_MS;
        HttpAnswer answer = http.read(call.withLimits(
                new HttpLimits(limits.connectMs(), firstByteMs, limits.progressMs(), firstByteMs + limits.totalMs())));
        if (answer.status() == 410) {
            throw new PlatformException.RevisionTooOld(sinceRevision);
        }
        return listing(PlatformHttp.json(answer), "events");
    }

    private static Listing listing(JsonNode node, String field) throws PlatformException {
        JsonNode array = node.get(field);
        if (array == null || !array.isArray()) {
            throw new PlatformException.Malformed("field " + field + " is missing or not an array", null);
        }
        List<Entry> entries = new ArrayList<>();
        for (JsonNode item : array) {
            entries.add(new Entry(key(PlatformHttp.text(item, "key")), PlatformHttp.number(item, "version")));
        }
        return new Listing(PlatformHttp.number(node, "revision"), entries);
    }

    private static ObjectKey key(String text) throws PlatformException {
        try {
            return new ObjectKey(text);
        } catch (IllegalArgumentException e) {
            throw new PlatformException.Malformed(e.getMessage(), e);
        }
    }

    private static HttpCall conditional(HttpCall call, long expectedVersion) {
        return expectedVersion == ABSENT
                ? call.withHeader("If-None-Match", "*")
                : call.withHeader("If-Match", "\"" + expectedVersion + "\"");
    }

    private static long version(HttpAnswer answer) throws PlatformException {
        String tag = answer.header("etag").orElse("").replace("\"", "");
        try {
            return Long.parseLong(tag);
        } catch (NumberFormatException e) {
            throw new PlatformException.Malformed("ETag is not a version: " + tag, e);
        }
    }

    private static String path(ObjectKey key) {
        return "/objects/" + key.value();
    }
}
