package org.magnoliabridge.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.security.InvalidKeyException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.magnoliabridge.bundle.BundleConflictException;
import org.magnoliabridge.bundle.BundleStore;
import org.magnoliabridge.bundle.InvalidBundleException;
import org.magnoliabridge.bundle.UnacceptableBundleException;
import org.magnoliabridge.bundle.Withdrawals;
import org.magnoliabridge.external.PlatformException;
import org.magnoliabridge.ids.InvalidIdException;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.keys.TeamKey;

/** The commands on keys: issue and withdraw. */
final class KeyCommands {
    private static final int ID_BYTES = 6;
    private static final String ID_FORM = "[A-Za-z0-9][A-Za-z0-9.-]{0,63}";

    private final CliSettings settings;
    private final BundleStore store;
    private final NodeClient nodes;
    private final SecureRandom random;

    KeyCommands(CliSettings settings, BundleStore store, NodeClient nodes, SecureRandom random) {
        this.settings = settings;
        this.store = store;
        this.nodes = nodes;
        this.random = random;
    }

    /** Issues a key; its secret is in the result only and is kept nowhere. */
    Result issue(String team, Optional<String> id)
            throws CommandException, PlatformException, UnacceptableBundleException, InvalidBundleException,
                    BundleConflictException, InvalidKeyException {
        TeamKey key =
                store.issueKey(team(team), keyId(id.orElseGet(this::randomId)), SigningKey.read(settings.signingKey()));
        ObjectNode json =
                Output.object().put("id", key.id().value()).put("team", team).put("key", key.reveal());
        return Result.ok(json, "key " + key.id() + " of team " + team + "; it is shown only now:", key.reveal());
    }

    /** Withdraws a key and waits until every live member refuses it. */
    Result withdraw(String id)
            throws CommandException, PlatformException, UnacceptableBundleException, BundleConflictException {
        Withdrawals withdrawals = store.withdrawKey(keyId(id));
        ObjectNode json = Output.object().put("id", id).put("version", withdrawals.version());
        SortedSet<String> pending = settings.operators().isEmpty()
                ? new TreeSet<>(List.of("no nodes configured"))
                : new Confirmation(nodes, "withdrawals_version", withdrawals.version()).await(settings.confirmMs());
        json.put("state", pending.isEmpty() ? "withdrawn" : "pending");
        pending.forEach(json.putArray("pending")::add);
        return pending.isEmpty()
                ? Result.ok(json, "key " + id + " withdrawn")
                : new Result(
                        ExitCode.PENDING,
                        json,
                        List.of("withdrawal of key " + id + " pending: " + String.join(", ", pending)));
    }

    private String randomId() {
        byte[] bytes = new byte[ID_BYTES];
        random.nextBytes(bytes);
        return "k" + HexFormat.of().formatHex(bytes);
    }

    private static TeamId team(String text) throws CommandException {
        try {
            return TeamId.parse(text);
        } catch (InvalidIdException e) {
            throw CommandException.invalid("--team", e.getMessage());
        }
    }

    private static KeyId keyId(String text) throws CommandException {
        try {
            if (!text.matches(ID_FORM)) {
                throw CommandException.invalid(
                        "id",
                        "a key id has 1 to 64 letters, digits, dots or hyphens and starts with a letter or digit");
            }
            return KeyId.parse(text);
        } catch (InvalidIdException e) {
            throw CommandException.invalid("id", e.getMessage());
        }
    }
}
