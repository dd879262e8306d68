/** Watches how full the samplers are. */
final class FullWatch {
    private static final long PERIOD_MS = 20;

    private final Lab lab;
    private final int slots;
    private volatile long lastHalfFullMs;

    FullWatch(Lab lab, int slots) {
        this.lab = lab;
        this.slots = slots;
        this.lastHalfFullMs = lab.nowMs();
        Thread.ofVirtual().start(this::watch);
    }

    /** Returns since when fewer than half of the places were taken. */
    long underHalfFullSinceMs() {
        return lastHalfFullMs;
    }

    private void watch() {
        try {
            while (true) {
                if (2 * lab.samplers.stream().mapToInt(Sampler::running).sum() >= slots) {
                    lastHalfFullMs = lab.nowMs();
                }
                Thread.sleep(PERIOD_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
