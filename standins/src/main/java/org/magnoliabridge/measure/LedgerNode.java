package org.magnoliabridge.measure;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.ServiceId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ledger.LedgerCore;
import org.magnoliabridge.ledger.LedgerEffect;
import org.magnoliabridge.ledger.LedgerInput;
import org.magnoliabridge.ledger.LedgerKey;
import org.magnoliabridge.ledger.StoredAnswer;

/** A ledger with one shard whose calls are answered at once with a body of 200 bytes. */
final class LedgerNode {
    private static final int BODY_BYTES = 200;
    private static final long NOW_MS = 1_000_000;
    private static final long DEADLINE_MS = NOW_MS + 30_000;

    final MemoryObjects store = new MemoryObjects();
    private final LedgerCore core = new LedgerCore(new NodeId("node"), new Incarnation(1), 1);
    private final String digest = LedgerKey.digestOf("body".getBytes(StandardCharsets.UTF_8));
    private long lastCall;

    /** Makes calls with new keys that arrive together, until all of them are recorded. */
    void calls(int count) {
        List<LedgerEffect> effects = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            LedgerKey key = new LedgerKey(new TeamId("team"), new ServiceId("service"), "key-" + ++lastCall);
            effects.addAll(core.handle(new LedgerInput.Call(lastCall, key, digest, DEADLINE_MS), NOW_MS));
        }
        while (!effects.isEmpty()) {
            List<LedgerEffect> next = new ArrayList<>();
            effects.forEach(effect -> next.addAll(perform(effect)));
            effects = next;
        }
        if (core.pending() > 0) {
            throw new IllegalStateException("a call is not recorded");
        }
    }

    private List<LedgerEffect> perform(LedgerEffect effect) {
        return switch (effect) {
            case LedgerEffect.Store s -> core.handle(new LedgerInput.Reply(s.tag(), store.answer(s.request())), NOW_MS);
            case LedgerEffect.Send s -> {
                StoredAnswer answer = StoredAnswer.of(200, "application/json", new byte[BODY_BYTES]);
                yield core.handle(new LedgerInput.SendFinished(s.callId(), new LedgerInput.Ran(answer)), NOW_MS);
            }
            case LedgerEffect.Answer a -> {
                if (!(a.outcome() instanceof LedgerEffect.Ran)) {
                    throw new IllegalStateException("a call did not run: " + a.outcome());
                }
                yield List.of();
            }
        };
    }
}
