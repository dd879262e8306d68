package org.magnoliabridge.rollout;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliabridge.external.StoreRequest;
import org.magnoliabridge.ids.Incarnation;
import org.magnoliabridge.ids.NodeId;

/**
 * Serves trainers: opens steps, delivers committed groups and accepts acknowledgements.
 *
 * <p>All durable state is in the object API, so any node can serve any request. A fetch marks groups that are too old
 * for the trainer as replaced before it delivers; an acknowledgement is refused if it covers a group that was replaced
 * after the trainer fetched it.
 */
public final class DeliveryCore {
    private final String tokenPrefix;
    private final StepCache cache;
    private final Set<Mechanism> mechanisms;
    private final Map<Long, DeliveryRequest> requests = new LinkedHashMap<>();
    private final Set<DeliveryRequest> resolving = new LinkedHashSet<>();
    private final Map<Long, DeliveryRequest> requestByTag = new HashMap<>();
    private long lastTag;

    /**
     * Creates a core without requests.
     *
     * @param incarnation differs from that of every earlier process of this node, which keeps tokens unique
     * @param maxCacheBytes limit on the total size of the group bodies kept in memory
     */
    public DeliveryCore(NodeId node, Incarnation incarnation, long maxCacheBytes) {
        this(node, incarnation, maxCacheBytes, EnumSet.allOf(Mechanism.class));
    }

    DeliveryCore(NodeId node, Incarnation incarnation, long maxCacheBytes, Set<Mechanism> mechanisms) {
        this.tokenPrefix = node + "." + incarnation + ".";
        this.cache = new StepCache(maxCacheBytes);
        this.mechanisms = mechanisms;
    }

    /** Handles an input and returns the effects to perform, in order. */
    public List<DeliveryEffect> handle(DeliveryInput input, long nowMs) {
        InputContext context = new InputContext(nowMs);
        switch (input) {
            case DeliveryInput.Open open ->
                start(new OpenRequest(open.requestId(), open.step(), open.deadlineMs(), open.spec()), context);
            case DeliveryInput.Fetch f -> start(new FetchRequest(f), context);
            case DeliveryInput.Acknowledge a -> start(new AckRequest(a, tokenPrefix + a.requestId()), context);
            case DeliveryInput.Reply reply -> {
                DeliveryRequest request = requestByTag.remove(reply.tag());
                if (request != null) {
                    request.reply(reply.tag(), reply.reply(), context);
                }
            }
            case DeliveryInput.Cancel cancel -> {
                DeliveryRequest request = requests.remove(cancel.requestId());
                if (request != null) {
                    context.resolveLater(request);
                }
            }
            case DeliveryInput.Tick tick -> {
                List<DeliveryRequest> all = new ArrayList<>(requests.values());
                all.addAll(resolving);
                all.forEach(request -> request.tick(context));
            }
        }
        requestByTag.values().removeIf(r -> !requests.containsKey(r.id) && !resolving.contains(r));
        return context.effects;
    }

    private void start(DeliveryRequest request, InputContext context) {
        requests.put(request.id, request);
        request.start(context);
    }

    /** Collects the effects of one input; requests use it to reach the state that they share. */
    final class InputContext {
        final long nowMs;
        private final List<DeliveryEffect> effects = new ArrayList<>();

        InputContext(long nowMs) {
            this.nowMs = nowMs;
        }

        long sendToStore(DeliveryRequest request, StoreRequest storeRequest) {
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
                if (!(answer instanceof DeliveryEffect.Acknowledged)) {
                    resolveLater(request);
                }
            }
        }

        /** Keeps a finished request until the outcome of its write is known, so that its usage can be counted. */
        private void resolveLater(DeliveryRequest request) {
            if (request.hasUnresolvedWrite()) {
                resolving.add(request);
                request.detach(this);
            }
        }

        /** Drops a kept request; the outcome is null if its write had no effect or is still unknown. */
        void resolved(DeliveryRequest request, DeliveryEffect.Acknowledged outcome) {
            if (resolving.remove(request) && outcome != null) {
                effects.add(new DeliveryEffect.LateAcknowledgement(outcome));
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
