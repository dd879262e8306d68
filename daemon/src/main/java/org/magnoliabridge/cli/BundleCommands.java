package org.magnoliabridge.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.security.InvalidKeyException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import org.magnoliabridge.bundle.Bundle;
import org.magnoliabridge.bundle.BundleConflictException;
import org.magnoliabridge.bundle.BundleDiff;
import org.magnoliabridge.bundle.BundleJson;
import org.magnoliabridge.bundle.BundleStore;
import org.magnoliabridge.bundle.InvalidBundleException;
import org.magnoliabridge.bundle.SignedBundle;
import org.magnoliabridge.bundle.UnacceptableBundleException;
import org.magnoliabridge.external.PlatformException;

/** The commands on bundles: create, validate, diff, sign, roll, status, keypair. */
final class BundleCommands {
    private final CliSettings settings;
    private final BundleStore store;
    private final NodeClient nodes;

    BundleCommands(CliSettings settings, BundleStore store, NodeClient nodes) {
        this.settings = settings;
        this.store = store;
        this.nodes = nodes;
    }

    /** Checks a bundle without the platform. */
    static Result validate(String file) throws CommandException {
        Bundle bundle = Input.bundle(file);
        return Result.ok(
                Output.object()
                        .put("valid", true)
                        .put("version", bundle.version().value()),
                "valid");
    }

    /** Creates a pair of keys for signing. */
    static Result keypair(String out) throws CommandException {
        String publicKey = SigningKey.create(Path.of(out));
        return Result.ok(Output.object().put("public_key", publicKey).put("private_key_file", out), publicKey);
    }

    /** Makes a draft with the next version from an edited copy of the accepted bundle. */
    Result create(String file, String out)
            throws CommandException, PlatformException, UnacceptableBundleException, InvalidBundleException,
                    BundleConflictException {
        BundleStore.Draft draft = store.create(Input.bundle(file));
        new DraftFile(draft, Optional.empty()).write(Path.of(out));
        return Result.ok(
                Output.object().put("version", draft.bundle().version().value()).put("draft", out),
                "draft of version " + draft.bundle().version() + " written to " + out);
    }

    /** Lists what differs between two bundles, or between the accepted bundle and one. */
    Result diff(String file, Optional<String> before)
            throws CommandException, PlatformException, UnacceptableBundleException, InvalidBundleException {
        Bundle after = Input.bundle(file);
        Bundle base = before.isPresent()
                ? Input.bundle(before.get())
                : store.current().orElseThrow(BundleCommands::none);
        ObjectNode json = Output.object();
        ArrayNode changes = json.putArray("changes");
        List<String> lines = new ArrayList<>();
        for (BundleDiff.Change change : BundleDiff.between(base, after)) {
            ObjectNode entry = changes.addObject().put("name", change.name());
            entry.put(
                    "change",
                    change.before().isEmpty() ? "added" : change.after().isEmpty() ? "removed" : "changed");
            lines.add(change.toString());
        }
        if (lines.isEmpty()) {
            lines.add("no differences");
        }
        return new Result(ExitCode.OK, json, lines);
    }

    /** Signs a draft. */
    Result sign(String file, String out) throws CommandException, InvalidKeyException {
        DraftFile draft = DraftFile.read(file);
        SignedBundle signed = store.sign(draft.draft(), SigningKey.read(settings.signingKey()));
        new DraftFile(draft.draft(), Optional.of(signed)).write(Path.of(out));
        return Result.ok(
                Output.object()
                        .put("version", signed.version().value())
                        .put("digest", signed.digest())
                        .put("signed", out),
                "version " + signed.version() + " signed, digest " + signed.digest());
    }

    /** Makes a signed draft the accepted bundle and waits until it is in force everywhere. */
    Result roll(String file) throws CommandException, PlatformException, BundleConflictException {
        DraftFile draft = DraftFile.read(file);
        SignedBundle signed = draft.signed()
                .orElseThrow(() -> CommandException.invalid("signature", "the draft must be signed first"));
        store.roll(draft.draft(), signed);
        return accepted(signed.version().value(), Output.object());
    }

    /** Waits until a version is in force on every live member, if nodes are configured. */
    Result accepted(long version, ObjectNode json) throws CommandException {
        json.put("version", version).put("accepted", true);
        if (settings.operators().isEmpty()) {
            return Result.ok(json.put("in_force", false), "version " + version + " accepted; no nodes configured");
        }
        SortedSet<String> pending = new Confirmation(nodes, "bundle_version", version).await(settings.confirmMs());
        json.put("in_force", pending.isEmpty());
        pending.forEach(json.putArray("pending")::add);
        return pending.isEmpty()
                ? Result.ok(json, "version " + version + " accepted and in force")
                : new Result(
                        ExitCode.PENDING,
                        json,
                        List.of("version " + version + " accepted; pending: " + String.join(", ", pending)));
    }

    /** Reports the accepted bundle, and writes it to a file for editing. */
    Result status(Optional<String> out)
            throws CommandException, PlatformException, UnacceptableBundleException, InvalidBundleException {
        Bundle bundle = store.current().orElseThrow(BundleCommands::none);
        if (out.isPresent()) {
            Input.write(Path.of(out.get()), BundleJson.write(bundle));
        }
        ObjectNode json = Output.object()
                .put("version", bundle.version().value())
                .put("teams", bundle.teams().size())
                .put("keys", bundle.keys().size())
                .put("services", bundle.services().size());
        int withdrawn = store.withdrawals().keys().size();
        return Result.ok(
                json.put("withdrawn_keys", withdrawn),
                "version " + bundle.version() + ": " + bundle.teams().size() + " teams, "
                        + bundle.keys().size() + " keys, " + withdrawn + " withdrawn, "
                        + bundle.services().size() + " services");
    }

    private static CommandException none() {
        return new CommandException(ExitCode.CONFLICT, "no bundle has been accepted yet");
    }
}
