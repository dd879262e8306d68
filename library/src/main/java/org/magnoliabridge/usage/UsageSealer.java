package org.magnoliabridge.usage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.magnoliabridge.external.ObjectKey;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.FencingToken;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WindowId;

/**
 * Seals usage windows in order and reports the sealed windows, while this node holds the usage lease.
 *
 * <p>A node seals a window only after it has read the sealed record of the window before it. If two nodes both believe
 * that they hold the lease, they compute carried counts from the same records, and create-if-absent stores only one of
 * the two results.
 */
final class UsageSealer {
    /** Windows for which late counts are carried; older late counts appear only in the reconciliation. */
    static final long CARRY_WINDOWS = 24;

    static final long REPLY_TIMEOUT_MS = 5_000;
    static final long RETRY_MS = 1_000;

    private static final ObjectKey HEAD = new ObjectKey("usage-head");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The first window that is ever sealed, and the last window that was reported. */
    private record Head(long first, long reported) {}

    private final CounterTable table;
    private final UsageTimes times;
    private final Set<Mechanism> mechanisms;
    private final SortedMap<Long, byte[]> unreported = new TreeMap<>();
    private final SortedMap<CounterId, Count> sealedCounts = new TreeMap<>();
    private final Map<Long, Count> engineTotals = new TreeMap<>();
    private long sendUntilMs = Long.MIN_VALUE;
    private long leaseHeldSinceMs;
    private FencingToken fencing = new FencingToken(0);

    private Head head;
    private long headVersion;
    private Head pendingHead;

    /** The next window to read or to seal; all sealed windows before it that are still needed have been read. */
    private long nextWindow;

    /** Whether the next window is known not to be sealed yet. */
    private boolean nextUnsealed;

    private long lastTag;
    private long storeTag;
    private StoreRequest storeRequest;
    private long storeRequestMs;
    private long storeNotBeforeMs = Long.MIN_VALUE;
    private long reportTag;
    private long reportMs;
    private long reportNotBeforeMs = Long.MIN_VALUE;

    UsageSealer(CounterTable table, UsageTimes times, Set<Mechanism> mechanisms) {
        this.table = table;
        this.times = times;
        this.mechanisms = mechanisms;
    }

    void leaseHeld(long untilMs, FencingToken token, long nowMs) {
        if (sendUntilMs <= nowMs || !token.equals(fencing)) {
            leaseLost();
            leaseHeldSinceMs = nowMs;
        }
        sendUntilMs = untilMs;
        fencing = token;
    }

    /** Discards the state read from the store, because another holder may write from now on. */
    void leaseLost() {
        sendUntilMs = Long.MIN_VALUE;
        head = null;
        storeTag = 0;
        reportTag = 0;
        nextUnsealed = false;
        unreported.clear();
        sealedCounts.clear();
    }

    void tick(long nowMs, List<UsageEffect> effects) {
        if (nowMs >= sendUntilMs) {
            return;
        }
        if (storeTag != 0 && nowMs - storeRequestMs >= REPLY_TIMEOUT_MS) {
            handleReply(storeTag, new StoreReply.Unknown(), nowMs, effects);
        }
        if (reportTag != 0 && nowMs - reportMs >= REPLY_TIMEOUT_MS) {
            reportTag = 0;
        }
        proceed(nowMs, effects);
    }

    private void proceed(long nowMs, List<UsageEffect> effects) {
        if (nowMs >= sendUntilMs) {
            return;
        }
        sendReport(nowMs, effects);
        if (storeTag != 0 || nowMs < storeNotBeforeMs) {
            return;
        }
        if (head == null) {
            sendStoreRequest(new StoreRequest.Read(HEAD), nowMs, effects);
        } else if (!nextUnsealed) {
            sendStoreRequest(new StoreRequest.Read(key(nextWindow)), nowMs, effects);
        } else if (pendingHead != null) {
            sendStoreRequest(new StoreRequest.Write(HEAD, headVersion, encode(pendingHead)), nowMs, effects);
        } else if (nowMs >= (nextWindow + 1) * times.windowMs() + times.graceMs()
                && nowMs >= leaseHeldSinceMs + times.settleMs()) {
            long expected = mechanisms.contains(Mechanism.CREATE_IF_ABSENT) ? ObjectStore.ABSENT : -1;
            sendStoreRequest(
                    new StoreRequest.Write(
                            key(nextWindow), expected, buildNextWindow().encode()),
                    nowMs,
                    effects);
        }
    }

    private SealedWindow buildNextWindow() {
        WindowId window = new WindowId(nextWindow);
        SortedMap<CounterId, Count> carried = new TreeMap<>();
        if (mechanisms.contains(Mechanism.CARRY)) {
            table.counts().forEach((id, count) -> {
                long origin = id.window().value();
                Count late = count.excessOver(sealedCounts.getOrDefault(id, Count.ZERO));
                if (origin < nextWindow && origin >= nextWindow - CARRY_WINDOWS && !late.isZero()) {
                    carried.put(id, late);
                }
            });
        }
        return new SealedWindow(window, table.countsOf(window), carried);
    }

    void handleReply(long replyTag, StoreReply reply, long nowMs, List<UsageEffect> effects) {
        if (replyTag != storeTag || storeTag == 0) {
            return;
        }
        StoreRequest asked = storeRequest;
        storeTag = 0;
        if (asked instanceof StoreRequest.Read read) {
            handleRead(read.key().equals(HEAD), reply, nowMs, effects);
        } else if (asked instanceof StoreRequest.Write write) {
            handleWrite(write, reply, nowMs, effects);
        }
        proceed(nowMs, effects);
    }

    private void handleRead(boolean isHead, StoreReply reply, long nowMs, List<UsageEffect> effects) {
        switch (reply) {
            case StoreReply.Found found -> {
                try {
                    if (isHead) {
                        loadHead(
                                decodeHead(found.object().value()),
                                found.object().version());
                    } else {
                        addSealedWindow(found.object().value(), effects);
                    }
                } catch (MalformedUsageException e) {
                    storeNotBeforeMs = nowMs + REPLY_TIMEOUT_MS;
                }
            }
            case StoreReply.NotFound none -> {
                if (isHead) {
                    // Sealing starts with the oldest window for which this node has counts.
                    long current = nowMs / times.windowMs();
                    long first = table.counts().isEmpty()
                            ? current
                            : Math.min(
                                    current, table.counts().firstKey().window().value());
                    loadHead(new Head(first, first - 1), ObjectStore.ABSENT);
                    pendingHead = head;
                } else {
                    nextUnsealed = true;
                }
            }
            default -> storeNotBeforeMs = nowMs + RETRY_MS;
        }
    }

    private void loadHead(Head read, long version) {
        head = read;
        headVersion = version;
        nextWindow = Math.max(read.first(), read.reported() + 1 - CARRY_WINDOWS);
        // A head that does not exist yet is created before any window is sealed.
        nextUnsealed = version == ObjectStore.ABSENT;
    }

    private void addOwnSealedWindow(byte[] sealed, List<UsageEffect> effects) {
        try {
            addSealedWindow(sealed, effects);
        } catch (MalformedUsageException e) {
            throw new IllegalStateException("cannot decode a sealed window that this node encoded", e);
        }
    }

    private void handleWrite(StoreRequest.Write write, StoreReply reply, long nowMs, List<UsageEffect> effects) {
        boolean isHead = write.key().equals(HEAD);
        switch (reply) {
            case StoreReply.Written done -> {
                if (isHead) {
                    head = pendingHead;
                    headVersion = done.version();
                    pendingHead = null;
                } else {
                    addOwnSealedWindow(write.value(), effects);
                }
            }
            case StoreReply.Unavailable down -> storeNotBeforeMs = nowMs + RETRY_MS;
            default -> {
                // Another holder's write, or this node's with a lost answer, may have taken effect: read the object.
                storeNotBeforeMs = reply instanceof StoreReply.Conflict ? nowMs : nowMs + RETRY_MS;
                if (isHead) {
                    discardState();
                } else {
                    nextUnsealed = false;
                }
            }
        }
    }

    private void discardState() {
        head = null;
        pendingHead = null;
        nextUnsealed = false;
        unreported.clear();
        sealedCounts.clear();
    }

    /** Adds the sealed record of the next window to the known state; it is binding, whichever node wrote it. */
    private void addSealedWindow(byte[] value, List<UsageEffect> effects) throws MalformedUsageException {
        SealedWindow sealed = SealedWindow.decode(value);
        sealed.counts().forEach((id, count) -> sealedCounts.merge(id, count, Count::plus));
        sealed.carried().forEach((id, count) -> sealedCounts.merge(id, count, Count::plus));
        if (nextWindow > head.reported()) {
            unreported.put(nextWindow, value);
        }
        nextWindow++;
        sealedCounts.keySet().removeIf(id -> id.window().value() < nextWindow - 2 * CARRY_WINDOWS);
        compareWithEngines(nextWindow - 1, effects);
    }

    private void sendReport(long nowMs, List<UsageEffect> effects) {
        if (reportTag != 0 || nowMs < reportNotBeforeMs || unreported.isEmpty() || pendingHead != null) {
            return;
        }
        long window = unreported.firstKey();
        reportTag = ++lastTag;
        reportMs = nowMs;
        byte[] body = mechanisms.contains(Mechanism.REPORT_FROM_SEALED_RECORD)
                ? unreported.get(window)
                : new SealedWindow(new WindowId(window), table.countsOf(new WindowId(window)), new TreeMap<>())
                        .encode();
        effects.add(new UsageEffect.Report(reportTag, new WindowId(window), body, requestsByTeam(body), fencing));
    }

    private static Map<TeamId, Long> requestsByTeam(byte[] record) {
        try {
            return SealedWindow.decode(record).requestsByTeam();
        } catch (MalformedUsageException e) {
            throw new IllegalStateException("cannot decode a sealed window that was decoded before", e);
        }
    }

    void handleReportResult(long replyTag, UsageInput.ReportResult result, long nowMs, List<UsageEffect> effects) {
        if (replyTag != reportTag || reportTag == 0) {
            return;
        }
        reportTag = 0;
        if (result == UsageInput.ReportResult.NOT_CONFIRMED) {
            reportNotBeforeMs = nowMs + RETRY_MS;
            return;
        }
        long window = unreported.firstKey();
        unreported.remove(window);
        if (result == UsageInput.ReportResult.OTHER_FIGURES) {
            effects.add(new UsageEffect.ReportConflict(new WindowId(window)));
        }
        pendingHead = new Head(head.first(), window);
        proceed(nowMs, effects);
    }

    void engineCounts(UsageInput.EngineCounts counts, List<UsageEffect> effects) {
        engineTotals.put(counts.window().value(), counts.count());
        if (head != null && counts.window().value() < nextWindow) {
            compareWithEngines(counts.window().value(), effects);
        }
    }

    /** Compares the counts of a sealed window with the engines' counts, if those have arrived. */
    private void compareWithEngines(long window, List<UsageEffect> effects) {
        Count engineCount = engineTotals.remove(window);
        if (engineCount != null) {
            Count sealedCount = sealedCounts.entrySet().stream()
                    .filter(e -> e.getKey().window().value() == window)
                    .map(Map.Entry::getValue)
                    .reduce(Count.ZERO, Count::plus);
            if (!sealedCount.equals(engineCount)) {
                effects.add(new UsageEffect.EngineMismatch(new WindowId(window), sealedCount, engineCount));
            }
        }
    }

    private void sendStoreRequest(StoreRequest ask, long nowMs, List<UsageEffect> effects) {
        storeTag = ++lastTag;
        storeRequest = ask;
        storeRequestMs = nowMs;
        effects.add(new UsageEffect.Store(storeTag, ask));
    }

    private static ObjectKey key(long window) {
        return new ObjectKey("usage/" + window);
    }

    private static byte[] encode(Head head) {
        try {
            return MAPPER.writeValueAsBytes(
                    MAPPER.createObjectNode().put("first", head.first()).put("reported", head.reported()));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }

    private static Head decodeHead(byte[] value) throws MalformedUsageException {
        try {
            JsonNode node = MAPPER.readTree(value);
            return new Head(
                    node.required("first").asLong(), node.required("reported").asLong());
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedUsageException("cannot decode the head of the usage windows", e);
        }
    }
}
