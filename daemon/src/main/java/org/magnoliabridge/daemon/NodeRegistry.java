package org.magnoliabridge.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.magnoliabridge.external.Backoff;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.external.StoredObject;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.NodeId;

/** Registers a node in the object store and lists the others; calls block until the store has answered. */
final class NodeRegistry {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String NODES = "nodes";
    private static final ObjectKey SECRET = new ObjectKey("cluster/secret");
    private static final int SECRET_BYTES = 32;

    private final ObjectStore store;
    private final Backoff backoff;

    /** The result of joining: incarnation, shared secret and peer addresses. */
    record Joined(Incarnation incarnation, String secret, Map<NodeId, String> peerAddresses) {}

    private interface StoreCall<T> {
        T run() throws PlatformException;
    }

    NodeRegistry(ObjectStore store, Backoff backoff) {
        this.store = store;
        this.backoff = backoff;
    }

    /** Registers this node; returns its incarnation, the shared secret and the registered nodes. Retries forever. */
    Joined join(NodeId self, String peerAddress) throws InterruptedException {
        // The store's revision rises with each write: a restart gets a higher incarnation even if the clock is wrong.
        long revision = retryUntilDone(() -> register(self, peerAddress));
        String secret = retryUntilDone(this::secret);
        Map<NodeId, String> others = retryUntilDone(this::nodes);
        return new Joined(new Incarnation(revision), secret, others);
    }

    /** Returns the peer addresses of all registered nodes. */
    Map<NodeId, String> nodes() throws PlatformException {
        return nodes(store.list(NODES));
    }

    /** Returns the peer addresses of the registered nodes; those of the last seconds may be missing. */
    Map<NodeId, String> recentNodes() throws PlatformException {
        return nodes(store.listStale(NODES));
    }

    private Map<NodeId, String> nodes(ObjectStore.Listing listing) throws PlatformException {
        Map<NodeId, String> nodes = new TreeMap<>();
        for (ObjectStore.Entry entry : listing.entries()) {
            Optional<StoredObject> object = entry.object().isPresent() ? entry.object() : store.read(entry.key());
            object.ifPresent(o -> add(nodes, o));
        }
        return nodes;
    }

    /** Removes the entry of a node that no longer runs. */
    void remove(NodeId node) throws PlatformException {
        Optional<StoredObject> object = store.read(key(node));
        if (object.isPresent()) {
            store.delete(key(node), object.get().version());
        }
    }

    private long register(NodeId self, String peerAddress) throws PlatformException {
        Optional<StoredObject> before = store.read(key(self));
        long version = before.map(StoredObject::version).orElse(ObjectStore.ABSENT);
        // The previous revision makes the value differ from that of an earlier start; an equal value is no change.
        byte[] value = json(Map.of("peer_address", peerAddress, "previous", version));
        return store.write(key(self), version, value);
    }

    private String secret() throws PlatformException {
        Optional<StoredObject> object = store.read(SECRET);
        if (object.isPresent()) {
            return field(object.get(), "secret");
        }
        byte[] random = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(random);
        store.write(
                SECRET, ObjectStore.ABSENT, json(Map.of("secret", HexFormat.of().formatHex(random))));
        // Another node may have written at the same time, so the stored value is read back.
        return field(store.read(SECRET).orElseThrow(), "secret");
    }

    private <T> T retryUntilDone(StoreCall<T> step) throws InterruptedException {
        while (true) {
            try {
                T result = step.run();
                backoff.reset();
                return result;
            } catch (PlatformException e) {
                LOG.atWarning().withCause(e).log("cannot join through the object store; retrying");
                Thread.sleep(backoff.nextDelayMs());
            }
        }
    }

    private static void add(Map<NodeId, String> nodes, StoredObject object) {
        try {
            NodeId id = NodeId.parse(object.key().value().substring(NODES.length() + 1));
            nodes.put(id, field(object, "peer_address"));
        } catch (InvalidIdException | PlatformException.Malformed e) {
            LOG.atWarning().withCause(e).log("ignoring invalid node entry %s", object.key());
        }
    }

    private static String field(StoredObject object, String name) throws PlatformException.Malformed {
        try {
            JsonNode value = JSON.readTree(object.value()).path(name);
            if (value.isTextual()) {
                return value.textValue();
            }
            throw new PlatformException.Malformed(object.key() + " has no field " + name, null);
        } catch (IOException e) {
            throw new PlatformException.Malformed(object.key() + " is not JSON", e);
        }
    }

    private static ObjectKey key(NodeId node) {
        return new ObjectKey(NODES + "/" + node);
    }

    private static byte[] json(Map<String, ?> fields) {
        try {
            return JSON.writeValueAsBytes(fields);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a map of strings and numbers as JSON", e);
        }
    }
}
