package org.magnoliabridge.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.magnoliabridge.ids.TeamId;

/** Finds the team that holds a key; keys are kept as SHA-256 digests. */
public final class TeamKeys {
    private final Map<ByteBuffer, TeamAccess> teams = new HashMap<>();

    /**
     * A team that holds a key.
     *
     * @param priority goes before that of the route, if the team has one
     */
    public record TeamAccess(TeamId team, OptionalInt priority) {}

    /** Adds a key; each key belongs to one team. */
    public TeamKeys add(String key, TeamAccess team) {
        teams.put(digest(key), team);
        return this;
    }

    /** Returns the team that holds the key, or empty if none does. */
    public Optional<TeamAccess> find(String key) {
        return Optional.ofNullable(teams.get(digest(key)));
    }

    private static ByteBuffer digest(String key) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            return ByteBuffer.wrap(sha.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
