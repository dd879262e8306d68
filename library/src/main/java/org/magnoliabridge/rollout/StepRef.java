package org.magnoliabridge.rollout;

import java.io.IOException;
import java.util.Objects;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.ids.RunId;
import org.magnoliabridge.ids.TeamId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Identifies a step; the team is part of the identity, so teams may use the same run id. */
public record StepRef(TeamId team, RunId run, long step) {
    public StepRef {
        Objects.requireNonNull(team);
        Objects.requireNonNull(run);
        if (step < 0) {
            throw new IllegalArgumentException("step must not be negative: " + step);
        }
    }

    ObjectKey headKey() {
        return new ObjectKey("steps/" + path());
    }

    ObjectKey bodyKey(String group, int attempt) {
        return new ObjectKey("groups/" + path() + "/" + group + "/" + attempt);
    }

    /** Returns the key of a part; it contains the digest of the whole body, so two bodies never share a part. */
    ObjectKey partKey(String group, int attempt, String digest, int part) {
        return new ObjectKey("parts/" + path() + "/" + group + "/" + attempt + "/" + digest + "/" + part);
    }

    private String path() {
        return team + "/" + run + "/" + step;
    }

    /** Packs the body of a step nudge, by which a node tells another that a trainer asks for samples. */
    public byte[] packNudge(long trainerVersion) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(4).packString(team.value()).packString(run.value());
            out.packLong(step).packLong(trainerVersion);
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("could not pack a step nudge into memory", e);
        }
    }

    /**
     * Unpacks the body of a step nudge.
     *
     * @throws MalformedStepException if the bytes are not a step nudge
     */
    public static RunnerInput.Nudge unpackNudge(byte[] body) throws MalformedStepException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
            if (in.unpackArrayHeader() != 4) {
                throw new MalformedStepException("step nudge does not have 4 fields", null);
            }
            TeamId team = new TeamId(in.unpackString());
            StepRef ref = new StepRef(team, new RunId(in.unpackString()), in.unpackLong());
            return new RunnerInput.Nudge(ref, in.unpackLong());
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new MalformedStepException("cannot unpack a step nudge", e);
        }
    }
}
