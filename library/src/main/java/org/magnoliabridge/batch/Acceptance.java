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
 * Accepts a batch exactly once, although the same batch arrives at several nodes and answers of the store are lost.
 *
 * <p>The items are written first; the head that is then created if absent decides. A head whose write has an unknown
 * outcome is read back until the outcome is known, and until then the batch may not be refused as not run.
 */
public final class Acceptance {
    private static final long RETRY_MS = 50;
    // An object takes at most 1 MiB with its metadata.
    private static final long MAX_PART_BYTES = 700_000;
    // What an item takes besides its path and body.
    private static final long ITEM_OVERHEAD_BYTES = 512;

    private final BatchHead head;
    private final List<byte[]> parts;
    private final Set<BatchMechanism> mechanisms;
    private int written;
    private boolean readHead;
    private boolean mayExist;
    private boolean createdHead;
    private Optional<BatchHead> accepted = Optional.empty();
    private long notBeforeMs = Long.MIN_VALUE;

    public Acceptance(BatchHead head, List<BatchItem> items) {
        this(head, items, EnumSet.allOf(BatchMechanism.class));
    }

    Acceptance(BatchHead head, List<BatchItem> items, Set<BatchMechanism> mechanisms) {
        this.mechanisms = mechanisms;
        this.parts = parts(items);
        this.head = Objects.requireNonNull(head).withParts(parts.size());
    }

    /** Returns the stored head once the batch is accepted, by this node or another. */
    public Optional<BatchHead> accepted() {
        return accepted;
    }

    /** Returns whether this acceptance created the head. */
    public boolean createdHead() {
        return createdHead;
    }

    /** Returns whether the batch may have been accepted, so that it must not be refused as not run. */
    public boolean undecided() {
        return mayExist && accepted.isEmpty() && mechanisms.contains(BatchMechanism.UNDECIDED);
    }

    /** Returns the request to make now; empty while a pause lasts or once the batch is accepted. */
    public Optional<StoreRequest> next(long nowMs) {
        if (accepted.isPresent() || nowMs < notBeforeMs) {
            return Optional.empty();
        }
        if (written < parts.size()) {
            return Optional.of(new StoreRequest.Write(
                    BatchKeys.items(head.id(), written), ObjectStore.ABSENT, parts.get(written)));
        }
        return Optional.of(
                readHead
                        ? new StoreRequest.Read(BatchKeys.head(head.id()))
                        : new StoreRequest.Write(BatchKeys.head(head.id()), ObjectStore.ABSENT, BatchCodec.head(head)));
    }

    /** Takes the reply to the last request. */
    public void reply(long nowMs, StoreReply reply) throws MalformedBatchException {
        if (written < parts.size()) {
            partReplied(nowMs, reply);
        } else {
            headReplied(nowMs, reply);
        }
    }

    // The parts of a batch are the same bytes at every node, so one that exists already is as good as one written here.
    private void partReplied(long nowMs, StoreReply reply) {
        switch (reply) {
            case StoreReply.Written done -> written++;
            case StoreReply.Conflict exists -> written++;
            default -> notBeforeMs = nowMs + RETRY_MS;
        }
    }

    private void headReplied(long nowMs, StoreReply reply) throws MalformedBatchException {
        switch (reply) {
            case StoreReply.Written done -> {
                accepted = Optional.of(head);
                createdHead = true;
            }
            case StoreReply.Found found ->
                accepted = Optional.of(BatchCodec.head(found.object().value()));
            case StoreReply.Conflict exists -> {
                mayExist = true;
                readHead = true;
            }
            case StoreReply.NotFound absent -> readHead = false;
            case StoreReply.Unknown lost -> {
                mayExist = true;
                readHead = true;
                notBeforeMs = nowMs + RETRY_MS;
            }
            case StoreReply.Unavailable down -> notBeforeMs = nowMs + RETRY_MS;
            case StoreReply.Listed list -> throw new IllegalStateException("no list was asked for");
        }
    }

    private static List<byte[]> parts(List<BatchItem> items) {
        List<byte[]> parts = new ArrayList<>();
        List<BatchItem> part = new ArrayList<>();
        long bytes = 0;
        for (BatchItem item : items) {
            // Base64 and JSON make a body about half as long again.
            long size = ITEM_OVERHEAD_BYTES + item.path().length() + 3L * item.body().length / 2;
            if (!part.isEmpty() && bytes + size > MAX_PART_BYTES) {
                parts.add(BatchCodec.items(part));
                part.clear();
                bytes = 0;
            }
            part.add(item);
            bytes += size;
        }
        parts.add(BatchCodec.items(part));
        return parts;
    }
}
