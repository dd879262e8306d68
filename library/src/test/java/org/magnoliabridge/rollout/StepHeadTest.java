package org.magnoliabridge.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliabridge.ids.RunId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;

class StepHeadTest {
    private static final StepSpec SPEC = new StepSpec(
            new ServiceId("s"),
            5,
            1,
            60_000,
            2,
            16,
            List.of(new StepSpec.Group("g0", "p0"), new StepSpec.Group("g1", "p\"1\u00e9")));
    private final StepHead head =
            StepHead.open(SPEC, 7).append("g0", 1, "d0", 5, 30).append("g1", 1, "d1", 6, 40);

    /** Guards against two entries of one group, which would deliver its samples twice. */
    @Test
    void appendsAGroupOnce() {
        assertThat(head.append("g0", 2, "other", 9, 1), is(head));
        assertThat(head.append("g0", 1, "other", 9, 1), is(head));
    }

    /** Guards against an acknowledgement of an entry that was replaced after the trainer fetched it. */
    @Test
    void aCursorIsOutdatedOnceAnEntryBeforeItIsReplaced() {
        StepHead expired = head.observe(7).expire();
        assertThat(expired.isOutdated(head.position()), is(true));
        assertThat(expired.isOutdated(expired.position()), is(false));
        assertThat(expired.liveEntriesAfter(0).size(), is(1));
    }

    /** Guards against the replacement of samples that the trainer has already used. */
    @Test
    void acknowledgedEntriesDoNotExpire() {
        StepHead acknowledged = head.acknowledge(head.position(), "t").observe(100);
        assertThat(acknowledged.expire(), is(acknowledged));
        assertThat(acknowledged.isClosed(), is(true));
    }

    /** Guards against samples that are counted for two requests, or not counted if a later request moves the cursor. */
    @Test
    void eachAcknowledgementCountsTheGroupsThatItCovers() {
        StepHead acknowledged =
                head.acknowledge(1, "first").acknowledge(2, "second").acknowledge(2, "third");
        assertThat(acknowledged.deliveredBy("first"), is(Optional.of(new DeliveredUsage(2, 2, 30))));
        assertThat(acknowledged.deliveredBy("second"), is(Optional.of(new DeliveredUsage(2, 2, 40))));
        assertThat(acknowledged.deliveredBy("third"), is(Optional.empty()));
    }

    /** Guards against a trainer version that decreases when requests arrive out of order. */
    @Test
    void theTrainerVersionNeverDecreases() {
        assertThat(head.observe(9).observe(3).trainerVersion(), is(9L));
    }

    /** Guards against a field that is lost in the head object or the nudge between nodes. */
    @Test
    void encodingsAreReversible() throws MalformedStepException {
        StepHead full = head.observe(8).expire().acknowledge(1, "t");
        assertThat(StepJson.head(StepJson.head(full)), is(full));
        StoredBody.Manifest manifest = new StoredBody.Manifest(2, "d", 5, 30);
        assertThat(StepJson.manifest(StepJson.manifest(manifest)), is(manifest));
        StepRef ref = new StepRef(new TeamId("t"), new RunId("r"), 3);
        assertThat(StepRef.unpackNudge(ref.packNudge(4)), is(new RunnerInput.Nudge(ref, 4)));
    }

    /** Guards against a step with missing or impossible fields being opened. */
    @Test
    void refusesAMalformedStep() {
        for (String json : List.of("", "[]", "{}", "{\"service\":\"s\",\"trainer_version\":-1}")) {
            byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
            assertThrows(MalformedStepException.class, () -> StepJson.spec(bytes));
        }
    }
}
