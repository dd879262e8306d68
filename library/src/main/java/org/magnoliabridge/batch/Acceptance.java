package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.magnoliabridge.external.ObjectStore;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.external.StoreRequest;

/**
 * Accepts a batch exactly once, even if it is submitted to several nodes or replies of the store are lost.
 *
 * <p>The items are written first, in parts. Then the head, the description of the batch, is created if it is absent;
 * the batch is accepted once its head is stored. If the outcome of the write of the head is unknown, the head is read
 * until the outcome is known. Until then the caller must not be told that the batch was not accepted.
 */
public final class Acceptance implements StoreTask {
    private static final long RETRY_MS = 50;

    private final BatchHead head;
    private final List<List<BatchItem>> parts;
    private final Set<BatchMechanism> mechanisms;
    private int writtenParts;
    // Only the part that is being written is held in its stored form.
    private Optional<byte[]> encodedPart = Optional.empty();
    private boolean readHeadNext;
    private boolean headMayExist;
    private boolean createdHead;
    private Optional<BatchHead> accepted = Optional.empty();
    private long notBeforeMs = Long.MIN_VALUE;

    public Acceptance(BatchHead head, List<BatchItem> items) {
        this(head, items, EnumSet.allOf(BatchMechanism.class));
    }

    Acceptance(BatchHead head, List<BatchItem> items, Set<BatchMechanism> mechanisms) {
        this.mechanisms = mechanisms;
        this.parts = splitIntoParts(items);
        this.head = Objects.requireNonNull(head).withParts(parts.size());
    }

    /** Returns the stored head once the batch is accepted; this node or another one may have stored it. */
    public Optional<BatchHead> accepted() {
        return accepted;
    }

    /** Returns whether this acceptance created the head. */
    public boolean createdHead() {
        return createdHead;
    }

    /** Returns whether it is unknown if the batch was accepted; the caller must then not be told that it was not. */
    public boolean undecided() {
        return headMayExist && accepted.isEmpty() && mechanisms.contains(BatchMechanism.UNDECIDED);
    }

    @Override
    public Optional<StoreRequest> next(long nowMs) {
        if (accepted.isPresent() || nowMs < notBeforeMs) {
            return Optional.empty();
        }
        if (writtenParts < parts.size()) {
            byte[] part = encodedPart.orElseGet(() -> BatchCodec.items(parts.get(writtenParts)));
            encodedPart = Optional.of(part);
            return Optional.of(
                    new StoreRequest.Write(BatchKeys.items(head.id(), writtenParts), ObjectStore.ABSENT, part));
        }
        return Optional.of(
                readHeadNext
                        ? new StoreRequest.Read(BatchKeys.head(head.id()))
                        : new StoreRequest.Write(BatchKeys.head(head.id()), ObjectStore.ABSENT, BatchCodec.head(head)));
    }

    @Override
    public void reply(long nowMs, StoreReply reply) throws MalformedBatchException {
        if (writtenParts < parts.size()) {
            handlePartReply(nowMs, reply);
        } else {
            handleHeadReply(nowMs, reply);
        }
    }

    // Every node writes the same bytes for a part, so a part that already exists counts as written.
    private void handlePartReply(long nowMs, StoreReply reply) {
        switch (reply) {
            case StoreReply.Written done -> partIsWritten();
            case StoreReply.Conflict exists -> partIsWritten();
            default -> notBeforeMs = nowMs + RETRY_MS;
        }
    }

    private void partIsWritten() {
        writtenParts++;
        encodedPart = Optional.empty();
    }

    private void handleHeadReply(long nowMs, StoreReply reply) throws MalformedBatchException {
        switch (reply) {
            case StoreReply.Written done -> {
                accepted = Optional.of(head);
                createdHead = true;
            }
            case StoreReply.Found found ->
                accepted = Optional.of(BatchCodec.head(found.object().value()));
            case StoreReply.Conflict exists -> {
                headMayExist = true;
                readHeadNext = true;
            }
            case StoreReply.NotFound absent -> readHeadNext = false;
            case StoreReply.Unknown unknown -> {
                headMayExist = true;
                readHeadNext = true;
                notBeforeMs = nowMs + RETRY_MS;
            }
            case StoreReply.Unavailable unavailable -> notBeforeMs = nowMs + RETRY_MS;
            case StoreReply.Listed list ->
                throw new IllegalStateException("got a list reply to a read or write request");
        }
    }

    private static List<List<BatchItem>> splitIntoParts(List<BatchItem> items) {
        List<List<BatchItem>> parts = new ArrayList<>();
        int first = 0;
        long bytes = 0;
        for (int i = 0; i < items.size(); i++) {
            long size = JsonSize.of(items.get(i));
            if (i > first && bytes + size > JsonSize.MAX_BYTES) {
                parts.add(items.subList(first, i));
                first = i;
                bytes = 0;
            }
            bytes += size;
        }
        parts.add(items.subList(first, items.size()));
        return parts;
    }
}
