package org.magnoliabridge.keys;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.ids.TeamId;

/**
 * A team's API key with its secret: {@code mb_<id>_<secret>}.
 *
 * <p>The secret has 256 random bits, so its plain SHA-256 hash cannot be reversed by brute force.
 */
public final class TeamKey {
    private static final int SECRET_BYTES = 32;
    private static final Pattern FORMAT =
            Pattern.compile("mb_([A-Za-z0-9][A-Za-z0-9.-]{0,63})_([0-9a-f]{" + 2 * SECRET_BYTES + "})");

    private final KeyId id;
    private final String secret;

    private TeamKey(KeyId id, String secret) {
        this.id = id;
        this.secret = secret;
    }

    /** Returns a new key with a random secret; the id must not contain an underscore. */
    public static TeamKey generate(KeyId id, SecureRandom random) {
        byte[] bytes = new byte[SECRET_BYTES];
        random.nextBytes(bytes);
        String text = "mb_" + id + "_" + HexFormat.of().formatHex(bytes);
        return parse(text).orElseThrow(() -> new IllegalArgumentException("key id has an underscore: " + id));
    }

    /** Returns the key, or empty if the text does not have the format. */
    public static Optional<TeamKey> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches() || matcher.group(1).contains("..")) {
            return Optional.empty();
        }
        return Optional.of(new TeamKey(new KeyId(matcher.group(1)), matcher.group(2)));
    }

    /** Returns the key's id, which is not secret. */
    public KeyId id() {
        return id;
    }

    /** Returns the key with its secret; only for the response that issues the key, never for logs. */
    public String reveal() {
        return "mb_" + id + "_" + secret;
    }

    /** Returns the bundle's entry for this key. */
    public KeyEntry entry(TeamId team) {
        return new KeyEntry(id, team, HexFormat.of().formatHex(hash()));
    }

    byte[] hash() {
        try {
            return MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.US_ASCII));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /** Returns the key with its secret masked. */
    @Override
    public String toString() {
        return "mb_" + id + "_***";
    }
}
