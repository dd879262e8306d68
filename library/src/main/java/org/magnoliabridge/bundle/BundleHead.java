package org.magnoliabridge.bundle;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.ids.BundleVersion;
import org.magnoliabridge.settings.SettingsException;
import org.magnoliabridge.settings.SettingsObject;

/**
 * The object {@code bundles/head}: which bundle is the accepted one.
 *
 * @param digest SHA-256 of the content in hex
 * @param signature Ed25519 over version and digest
 * @param writers one unique token for each of the last updates, newest last; a writer that got no answer looks for its
 *     token here
 */
@SuppressWarnings("ArrayRecordComponent")
public record BundleHead(BundleVersion version, String digest, byte[] signature, List<String> writers) {
    /** Key of the head. */
    public static final ObjectKey KEY = new ObjectKey("bundles/head");

    /** Prefix of the bundle objects. */
    public static final String PREFIX = "bundles/";

    private static final int KEPT_WRITERS = 8;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    public BundleHead {
        Objects.requireNonNull(version);
        Objects.requireNonNull(digest);
        Objects.requireNonNull(signature);
        writers = List.copyOf(writers);
    }

    /** Returns the key of the content of a version. */
    public static ObjectKey contentKey(BundleVersion version) {
        return new ObjectKey(PREFIX + version);
    }

    static List<String> appendWriter(List<String> writers, String token) {
        List<String> result = new ArrayList<>(writers);
        result.add(token);
        return result.subList(Math.max(0, result.size() - KEPT_WRITERS), result.size());
    }

    /** Reads the object's value. */
    public static BundleHead read(byte[] json) throws UnacceptableBundleException {
        try {
            SettingsObject o = SettingsObject.parse(json);
            BundleHead head = new BundleHead(
                    new BundleVersion(o.integer("version", 1, Long.MAX_VALUE)),
                    o.text("digest"),
                    Base64.getDecoder().decode(o.text("signature")),
                    o.texts("writers"));
            o.finish();
            return head;
        } catch (SettingsException | IllegalArgumentException e) {
            throw new UnacceptableBundleException(UnacceptableBundleException.Reason.MALFORMED);
        }
    }

    /** Returns the object's value. */
    public byte[] write() {
        ObjectNode node = MAPPER.createObjectNode()
                .put("version", version.value())
                .put("digest", digest)
                .put("signature", Base64.getEncoder().encodeToString(signature));
        ArrayNode array = node.putArray("writers");
        writers.forEach(array::add);
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("unexpected failure to write JSON", e);
        }
    }
}
