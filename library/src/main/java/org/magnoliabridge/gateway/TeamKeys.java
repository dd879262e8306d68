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

/** Maps keys to teams; keys are stored as SHA-256 digests. */
public final class TeamKeys {
    private final Map<ByteBuffer, TeamAccess> teams = new HashMap<>();

    /**
     * The team that a key belongs to.
     *
     * @param priority the team's own priority, if any; takes precedence over that of the route
     */
    public record TeamAccess(TeamId team, OptionalInt priority) {}

    /** Adds a key; a key belongs to exactly one team. */
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
