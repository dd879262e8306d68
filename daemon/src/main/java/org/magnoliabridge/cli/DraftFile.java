package org.magnoliabridge.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.magnoliabridge.bundle.Bundle;
import org.magnoliabridge.bundle.BundleJson;
import org.magnoliabridge.bundle.BundleStore;
import org.magnoliabridge.bundle.SignedBundle;
import org.magnoliabridge.settings.SettingsException;
import org.magnoliabridge.settings.SettingsObject;

/**
 * A draft on disk, between create, sign and roll; the content is kept as bytes, because the signature covers them.
 *
 * @param signed the signed bundle, once it is signed
 */
record DraftFile(BundleStore.Draft draft, Optional<SignedBundle> signed) {
    static DraftFile read(String file) throws CommandException {
        try {
            SettingsObject root = SettingsObject.parse(Input.bytes(file));
            long base = root.integer("base_version", 0, Long.MAX_VALUE);
            byte[] content = base64(root, "content", root.text("content"));
            byte[] signature =
                    base64(root, "signature", root.optionalText("signature").orElse(""));
            List<String> writers = root.texts("writers");
            root.finish();
            Bundle bundle = Input.bundle(file, content);
            Optional<SignedBundle> signed = signature.length == 0
                    ? Optional.empty()
                    : Optional.of(new SignedBundle(bundle.version(), content, signature));
            return new DraftFile(new BundleStore.Draft(bundle, base, writers), signed);
        } catch (SettingsException e) {
            throw Input.invalid("draft " + file, e);
        }
    }

    void write(Path file) throws CommandException {
        ObjectNode root = Output.object().put("base_version", draft.baseVersion());
        ArrayNode writers = root.putArray("writers");
        draft.writers().forEach(writers::add);
        byte[] content = signed.map(SignedBundle::content).orElseGet(() -> BundleJson.write(draft.bundle()));
        root.put("content", Base64.getEncoder().encodeToString(content));
        signed.ifPresent(s -> root.put("signature", Base64.getEncoder().encodeToString(s.signature())));
        Input.write(file, root.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] base64(SettingsObject root, String field, String text) {
        return root.parsed(field, text, "base64", DraftFile::decode).orElse(new byte[0]);
    }

    private static Optional<byte[]> decode(String text) {
        try {
            return Optional.of(Base64.getDecoder().decode(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
