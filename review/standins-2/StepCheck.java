import java.util.Set;

/** The rule LOST for a step that runs out of time, while there is no impairment and no version is named. */
final class StepCheck {
    private static final long IDLE_MS = 5_000;

    private StepCheck() {}

    /**
     * Reads a step until its time is over. Returns whether it runs out of time while items wait that no sampler has had,
     * although others of it had begun, and the samplers were under half full for the last 5 s at least.
     */
    static boolean outOfTime(Lab lab, Trainer step, int slots, int deadlineMs) throws Exception {
        long endMs = step.acceptedAtMs + deadlineMs;
        FullWatch full = new FullWatch(lab, slots);
        boolean whole = step.readAll(endMs);
        Set<String> waiting = step.neverRun();
        boolean begun = waiting.size() < step.items.size();
        long emptyMs = lab.nowMs() - full.underHalfFullSinceMs();
        lab.record("%s: step %s has %d of %d items listed; at no sampler: %s; samplers under half full for %d ms"
                .formatted(step.who, step.batch, step.results.size(), step.items.size(), waiting, emptyMs));
        return !whole && begun && !waiting.isEmpty() && emptyMs >= IDLE_MS;
    }
}
