package org.magnoliabridge.ids;

/**
 * Identifies a team, the unit of billing, limits and fairness.
 *
 * @param value letters, digits, dots, underscores and hyphens; 1 to 128 characters, starting with a letter or digit
 */
public record TeamId(String value) implements Comparable<TeamId> {
    public TeamId {
        Names.require("TeamId", value);
    }

    /**
     * Parses an id that comes from outside the process.
     *
     * @throws InvalidIdException if the text is not a valid id
     */
    public static TeamId parse(String text) throws InvalidIdException {
        Names.check("TeamId", text);
        return new TeamId(text);
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
