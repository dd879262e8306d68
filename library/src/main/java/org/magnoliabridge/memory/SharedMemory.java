package org.magnoliabridge.memory;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.magnoliabridge.core.ControlLoop;
import org.magnoliabridge.core.MonotonicClock;

/** The memory of one process: passes requests for bytes to a {@link ByteBudget}, and its decisions to the owners. */
public final class SharedMemory implements NodeMemory, AutoCloseable {
    /** The least limit, in bytes. */
    public static final long MIN_LIMIT_BYTES = ByteBudget.MIN_LIMIT_BYTES;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long WAIT_MS = 1_000;
    private static final long TICK_MS = 50;
    private static final int HEAP_SHARE = 2;
    // An answer is passed on by the thread that received it.
    private static final long OFFER_MS = 200;

    private final MonotonicClock clock;
    private final MetricRegistry metrics;
    private final ControlLoop timer = new ControlLoop("memory");
    private final Object lock = new Object();
    // Guarded by the lock.
    private final ByteBudget budget;
    private final Map<ClaimId, Claim> claims = new HashMap<>();
    // Content is equal to itself only.
    private final Map<Content, MemoryClaim> offered = new HashMap<>();
    private long lastId;
    private boolean ticking;
    private boolean closed;

    /**
     * Creates a memory without claims.
     *
     * @param limitBytes limit on the bytes of all claims together, at least {@link #MIN_LIMIT_BYTES}
     */
    public SharedMemory(long limitBytes, MonotonicClock clock, MetricRegistry metrics) {
        this.clock = clock;
        this.metrics = metrics;
        budget = new ByteBudget(limitBytes);
        for (Holding holding : Holding.values()) {
            String name = "memory.bytes." + holding.name().toLowerCase(Locale.ROOT);
            Gauge<Long> bytes = () -> bytes(holding);
            metrics.gauge(name, () -> bytes);
        }
        Gauge<Integer> waiting = this::waiting;
        metrics.gauge("memory.waiting", () -> waiting);
    }

    /** Creates a memory without claims that may hold half of the heap. */
    public static SharedMemory ofHeap(MonotonicClock clock, MetricRegistry metrics) {
        return new SharedMemory(Runtime.getRuntime().maxMemory() / HEAP_SHARE, clock, metrics);
    }

    /** Returns the limit on the bytes of all claims together. */
    public long limitBytes() {
        return budget.limitBytes();
    }

    /** Returns the bytes that the claims of one kind hold together. */
    public long bytes(Holding holding) {
        synchronized (lock) {
            return budget.grantedBytes(holding);
        }
    }

    /** Returns the bytes that all claims hold together. */
    public long bytes() {
        synchronized (lock) {
            return budget.grantedBytes();
        }
    }

    /** Returns the number of claims that wait for room. */
    public int waiting() {
        synchronized (lock) {
            return budget.waiting();
        }
    }

    @Override
    public MemoryClaim open(Holding holding, String origin, MemoryClaim.Owner owner) {
        return open(holding, origin, Optional.of(owner));
    }

    @Override
    public MemoryClaim open(Holding holding, String origin) {
        return open(holding, origin, Optional.empty());
    }

    private MemoryClaim open(Holding holding, String origin, Optional<MemoryClaim.Owner> owner) {
        synchronized (lock) {
            lastId++;
            Claim claim = new Claim(new ClaimId(lastId), holding, owner);
            claims.put(claim.id, claim);
            budget.on(clock.nowMs(), new BudgetInput.Open(claim.id, holding, origin, owner.isPresent()));
            return claim;
        }
    }

    @Override
    public void offer(Content content, MemoryClaim claim) {
        claim.progress();
        synchronized (lock) {
            if (!closed) {
                offered.put(content, claim);
                timer.postDelayed(OFFER_MS, () -> offerEnded(content));
                return;
            }
        }
        claim.close();
    }

    private void offerEnded(Content content) {
        unoffered(content).ifPresent(MemoryClaim::close);
    }

    private Optional<MemoryClaim> unoffered(Content content) {
        synchronized (lock) {
            return Optional.ofNullable(offered.remove(content));
        }
    }

    @Override
    public boolean takeOver(Content content, MemoryClaim claim) {
        Optional<MemoryClaim> from = unoffered(content);
        if (from.isPresent() && from.get() instanceof Claim own && claim instanceof Claim to) {
            apply(new BudgetInput.Move(own.id, to.id));
            return true;
        }
        from.ifPresent(MemoryClaim::close);
        return false;
    }

    /** Stops waiting: what waits for room is refused, and what has no room is refused at once. */
    @Override
    public void close() {
        List<Claim> open;
        List<MemoryClaim> unclaimed;
        synchronized (lock) {
            closed = true;
            open = List.copyOf(claims.values());
            unclaimed = List.copyOf(offered.values());
            offered.clear();
        }
        unclaimed.forEach(MemoryClaim::close);
        open.forEach(c -> apply(new BudgetInput.Withdraw(c.id)));
        timer.close();
    }

    private void apply(BudgetInput input) {
        List<Runnable> calls = new ArrayList<>();
        synchronized (lock) {
            for (BudgetEffect effect : budget.on(clock.nowMs(), input)) {
                Claim claim = claims.get(effect.claim());
                calls.add(claim.call(effect));
            }
            ended(input).map(claims::remove).ifPresent(c -> calls.add(c.ended()));
            tickWhileWaiting();
        }
        calls.forEach(SharedMemory::run);
    }

    private static Optional<ClaimId> ended(BudgetInput input) {
        return switch (input) {
            case BudgetInput.Release release -> Optional.of(release.claim());
            case BudgetInput.Move move -> Optional.of(move.from());
            default -> Optional.empty();
        };
    }

    // A decision is told to all owners, whatever happens at one of them.
    private static void run(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("unexpected exception at the owner of a claim");
        }
    }

    private void tickWhileWaiting() {
        if (!ticking && !closed && budget.waiting() > 0) {
            ticking = true;
            timer.postDelayed(TICK_MS, this::tick);
        }
    }

    private void tick() {
        synchronized (lock) {
            ticking = false;
        }
        apply(new BudgetInput.Tick());
    }

    /** The part of the memory that one owner holds. */
    private final class Claim implements MemoryClaim {
        private final ClaimId id;
        private final Holding holding;
        private final Optional<Owner> owner;
        // Guarded by the lock; present while a thread takes bytes.
        private Optional<CompletableFuture<Boolean>> taking = Optional.empty();

        private Claim(ClaimId id, Holding holding, Optional<Owner> owner) {
            this.id = id;
            this.holding = holding;
            this.owner = owner;
        }

        @Override
        public void request(long bytes) {
            if (owner.isEmpty()) {
                throw new IllegalStateException("a claim without an owner cannot be told about a request");
            }
            apply(new BudgetInput.Ask(id, bytes, waitMs(WAIT_MS)));
        }

        @Override
        public boolean tryTake(long bytes) {
            return ask(bytes, 0).getNow(false);
        }

        @Override
        public boolean take(long bytes, long waitMs) throws InterruptedException {
            CompletableFuture<Boolean> outcome = ask(bytes, waitMs(waitMs));
            try {
                return outcome.get(waitMs, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                apply(new BudgetInput.Withdraw(id));
                return outcome.getNow(false);
            } catch (InterruptedException e) {
                apply(new BudgetInput.Withdraw(id));
                throw e;
            } catch (ExecutionException e) {
                throw new IllegalStateException("the outcome of a request is never a failure", e);
            }
        }

        private CompletableFuture<Boolean> ask(long bytes, long waitMs) {
            CompletableFuture<Boolean> outcome = new CompletableFuture<>();
            synchronized (lock) {
                if (!claims.containsKey(id)) {
                    return CompletableFuture.completedFuture(false);
                }
                if (taking.isPresent()) {
                    throw new IllegalStateException("a claim waits for one request at a time");
                }
                taking = Optional.of(outcome);
            }
            apply(new BudgetInput.Ask(id, bytes, waitMs));
            return outcome;
        }

        private long waitMs(long waitMs) {
            synchronized (lock) {
                return closed ? 0 : waitMs;
            }
        }

        @Override
        public void progress() {
            apply(new BudgetInput.Progress(id));
        }

        @Override
        public long bytes() {
            synchronized (lock) {
                return budget.grantedBytes(id);
            }
        }

        @Override
        public void close() {
            apply(new BudgetInput.Release(id));
        }

        /** Returns the call that tells a thread which takes bytes that the claim has ended. */
        private Runnable ended() {
            Optional<CompletableFuture<Boolean>> taker = taking;
            taking = Optional.empty();
            return () -> taker.ifPresent(t -> t.complete(false));
        }

        /** Returns the call that tells about a decision, to be made without the lock. */
        private Runnable call(BudgetEffect effect) {
            Optional<CompletableFuture<Boolean>> taker = taking;
            return switch (effect) {
                case BudgetEffect.Granted granted -> {
                    taking = Optional.empty();
                    yield taker.<Runnable>map(t -> () -> t.complete(true))
                            .orElseGet(() -> owner.orElseThrow()::granted);
                }
                case BudgetEffect.Refused refused -> {
                    taking = Optional.empty();
                    recordRefusal(refused.reason());
                    yield taker.<Runnable>map(t -> () -> t.complete(false))
                            .orElseGet(() -> owner.orElseThrow()::refused);
                }
                case BudgetEffect.Evicted evicted -> {
                    recordEviction();
                    yield owner.orElseThrow()::evicted;
                }
            };
        }

        private void recordRefusal(BudgetEffect.Reason reason) {
            metrics.counter("memory.refused." + reason.name().toLowerCase(Locale.ROOT))
                    .inc();
            LOG.atWarning()
                    .per(reason)
                    .atMostEvery(1, TimeUnit.SECONDS)
                    .log(
                            "no room for a claim (%s): %s, %d of %d bytes granted, %d claims wait",
                            holding, reason, budget.grantedBytes(), budget.limitBytes(), budget.waiting());
        }

        private void recordEviction() {
            metrics.counter("memory.evicted").inc();
            LOG.atWarning()
                    .per(holding)
                    .atMostEvery(1, TimeUnit.SECONDS)
                    .log(
                            "a claim of %d bytes (%s) that stalls gives way: %d of %d bytes granted, %d claims wait",
                            budget.grantedBytes(id),
                            holding,
                            budget.grantedBytes(),
                            budget.limitBytes(),
                            budget.waiting());
        }
    }
}
