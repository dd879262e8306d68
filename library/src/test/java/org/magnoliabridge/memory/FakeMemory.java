package org.magnoliabridge.memory;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A node's memory that grants every request, or leaves that to the test. */
public final class FakeMemory implements NodeMemory {
    private final List<FakeClaim> claims = new CopyOnWriteArrayList<>();
    private volatile boolean holding;

    /** Leaves requests open from now on; the test answers them through the claim's owner. */
    public FakeMemory holdRequests() {
        holding = true;
        return this;
    }

    /** Returns all claims that were opened, in order. */
    public List<FakeClaim> claims() {
        return claims;
    }

    /** Returns the bytes of all claims that are open. */
    public long bytes() {
        return claims.stream().mapToLong(FakeClaim::bytes).sum();
    }

    @Override
    public MemoryClaim open(Holding holding, String origin, MemoryClaim.Owner owner) {
        FakeClaim claim = new FakeClaim(holding, origin, owner);
        claims.add(claim);
        return claim;
    }

    @Override
    public MemoryClaim open(Holding holding, String origin) {
        return open(holding, origin, null);
    }

    /** One claim. */
    public final class FakeClaim implements MemoryClaim {
        private final Holding holding;
        private final String origin;
        private final Owner owner;
        private final List<Long> requests = new CopyOnWriteArrayList<>();
        private final AtomicInteger progress = new AtomicInteger();
        private long granted;
        private boolean closed;

        private FakeClaim(Holding holding, String origin, Owner owner) {
            this.holding = holding;
            this.origin = origin;
            this.owner = owner;
        }

        /** Returns what the claim is for. */
        public Holding holding() {
            return holding;
        }

        /** Returns the address that the claim was opened for. */
        public String origin() {
            return origin;
        }

        /** Returns the sizes of all requests, in bytes. */
        public List<Long> requests() {
            return requests;
        }

        /** Returns how often progress was reported. */
        public int progressCount() {
            return progress.get();
        }

        /** Returns whether the claim was closed. */
        public synchronized boolean isClosed() {
            return closed;
        }

        /** Grants the last request. */
        public void grant() {
            synchronized (this) {
                granted += requests.getLast();
            }
            owner.granted();
        }

        /** Refuses the last request. */
        public void refuse() {
            owner.refused();
        }

        /** Tells the owner that the claim gives way. */
        public void evict() {
            owner.evicted();
        }

        @Override
        public void request(long bytes) {
            requests.add(bytes);
            if (!FakeMemory.this.holding) {
                grant();
            }
        }

        @Override
        public boolean tryTake(long bytes) {
            if (FakeMemory.this.holding) {
                return false;
            }
            synchronized (this) {
                granted += bytes;
            }
            return true;
        }

        @Override
        public boolean take(long bytes, long waitMs) {
            return tryTake(bytes);
        }

        @Override
        public void progress() {
            progress.incrementAndGet();
        }

        @Override
        public synchronized long bytes() {
            return closed ? 0 : granted;
        }

        @Override
        public synchronized void close() {
            closed = true;
        }
    }
}
