package org.magnoliabridge.rollout;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliabridge.platform.StoreRequest;

/**
 * Serves trainers: opens steps, delivers decided groups and takes acknowledgements, all from the object API.
 *
 * <p>Any node can serve any request. A fetch replaces groups that are too old for the trainer before it delivers; an
 * acknowledgement is refused if it covers a group that was replaced after the trainer fetched it.
 */
public final class DeliveryCore {
    private final StepCache cache;
    private final Set<Mechanism> mechanisms;
    private final Map<Long, DeliveryRequest> requests = new LinkedHashMap<>();
    private final Map<Long, DeliveryRequest> requestByTag = new HashMap<>();
    private long lastTag;

    /**
     * Creates a core that serves no request.
     *
     * @param maxCacheBytes size of the group bodies kept in memory
     */
    public DeliveryCore(long maxCacheBytes) {
        this(maxCacheBytes, EnumSet.allOf(Mechanism.class));
    }

    DeliveryCore(long maxCacheBytes, Set<Mechanism> mechanisms) {
        this.cache = new StepCache(maxCacheBytes);
        this.mechanisms = mechanisms;
    }

    /** Takes an input and returns what is to be done, in order. */
    public List<DeliveryEffect> handle(DeliveryInput input, long nowMs) {
        Turn turn = new Turn(nowMs);
        switch (input) {
            case DeliveryInput.Open open ->
                start(new OpenRequest(open.requestId(), open.step(), open.deadlineMs(), open.spec()), turn);
            case DeliveryInput.Fetch f -> start(new FetchRequest(f), turn);
            case DeliveryInput.Acknowledge a -> start(new AckRequest(a), turn);
            case DeliveryInput.Reply reply -> {
                DeliveryRequest request = requestByTag.remove(reply.tag());
                if (request != null) {
                    request.reply(reply.tag(), reply.reply(), turn);
                }
            }
            case DeliveryInput.Cancel cancel -> requests.remove(cancel.requestId());
            case DeliveryInput.Tick tick -> List.copyOf(requests.values()).forEach(request -> request.tick(turn));
        }
        requestByTag.values().removeIf(r -> !requests.containsKey(r.id));
        return turn.effects;
    }

    private void start(DeliveryRequest request, Turn turn) {
        requests.put(request.id, request);
        request.start(turn);
    }

    /** What one input causes. */
    final class Turn {
        final long nowMs;
        private final List<DeliveryEffect> effects = new ArrayList<>();

        Turn(long nowMs) {
            this.nowMs = nowMs;
        }

        long store(DeliveryRequest request, StoreRequest storeRequest) {
            requestByTag.put(++lastTag, request);
            effects.add(new DeliveryEffect.Store(lastTag, storeRequest));
            return lastTag;
        }

        void nudge(StepRef step, long trainerVersion) {
            effects.add(new DeliveryEffect.Nudge(step, trainerVersion));
        }

        void answer(DeliveryRequest request, DeliveryEffect.Answer answer) {
            if (requests.remove(request.id) != null) {
                effects.add(new DeliveryEffect.Reply(request.id, answer));
            }
        }

        StepCache cache() {
            return cache;
        }

        boolean uses(Mechanism mechanism) {
            return mechanisms.contains(mechanism);
        }
    }
}
