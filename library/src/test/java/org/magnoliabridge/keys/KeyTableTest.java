package org.magnoliabridge.keys;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.security.SecureRandom;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.KeyId;
import org.magnoliabridge.ids.TeamId;

class KeyTableTest {
    private static final TeamId TEAM = new TeamId("anvil");
    private final TeamKey key = TeamKey.generate(new KeyId("k1"), new SecureRandom());
    private final TeamKey other = TeamKey.generate(new KeyId("k2"), new SecureRandom());
    private final KeyTable table = KeyTable.of(List.of(key.entry(TEAM), other.entry(TEAM)), Set.of(other.id()));

    /** Guards I4: only the exact secret of the named key authenticates. */
    @Test
    void authenticatesOnlyTheExactKey() {
        assertThat(table.authenticate(key.reveal()), equalTo(new KeyTable.Known(TEAM, key.id())));
        String crossed = "mb_k1_" + other.reveal().substring("mb_k2_".length());
        for (String text : List.of(crossed, key.reveal() + "0", "mb_k3_" + "0".repeat(64), "", "mb_k1_", "mb__")) {
            assertThat(text, table.authenticate(text), equalTo(new KeyTable.Unknown()));
        }
    }

    /** Guards I6: a withdrawn key no longer authenticates, and calls in progress can detect the withdrawal. */
    @Test
    void withdrawnKeyIsRefused() {
        assertThat(table.authenticate(other.reveal()), equalTo(new KeyTable.Withdrawn(other.id())));
        assertThat(table.isActive(other.id()), is(false));
        assertThat(table.isActive(key.id()), is(true));
    }

    /** Guards against secrets in logs. */
    @Test
    void toStringMasksTheSecret() {
        assertThat(key.toString(), not(equalTo(key.reveal())));
        assertThat(key.toString(), equalTo("mb_k1_***"));
    }
}
