package org.magnoliabridge.calls;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliabridge.ids.EndpointId;

/** Assigns the first endpoint that is not excluded, and records the observations that calls report. */
public final class FakeEndpoints implements EndpointSource {
    public final Map<EndpointId, InetSocketAddress> endpoints = new LinkedHashMap<>();
    public final List<String> observations = new CopyOnWriteArrayList<>();
    public final List<SlotRequest> slotRequests = new CopyOnWriteArrayList<>();
    public final AtomicInteger openSlots = new AtomicInteger();

    public FakeEndpoints add(String id, InetSocketAddress address) {
        endpoints.put(new EndpointId(id), address);
        return this;
    }

    @Override
    public Slot acquire(SlotRequest request, Cancellation cancellation) throws CallException {
        slotRequests.add(request);
        Optional<Map.Entry<EndpointId, InetSocketAddress>> chosen = endpoints.entrySet().stream()
                .filter(e -> !request.excluded().contains(e.getKey()))
                .findFirst();
        if (chosen.isEmpty()) {
            throw CallException.notRun(new Failure.Overloaded(1_000));
        }
        openSlots.incrementAndGet();
        return new FakeSlot(chosen.get().getKey(), chosen.get().getValue());
    }

    private final class FakeSlot implements Slot {
        private final EndpointId id;
        private final InetSocketAddress address;

        FakeSlot(EndpointId id, InetSocketAddress address) {
            this.id = id;
            this.address = address;
        }

        @Override
        public EndpointId endpoint() {
            return id;
        }

        @Override
        public InetSocketAddress address() {
            return address;
        }

        @Override
        public void observed(Observation observation) {
            observations.add(id + " " + observation);
        }

        @Override
        public void release(int usedTokens) {
            // The slot is counted as released in close, which is always called afterwards.
        }

        @Override
        public void close() {
            openSlots.decrementAndGet();
        }
    }
}
