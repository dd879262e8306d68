package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliabridge.ids.NodeId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.membership.Item;
import org.magnoliabridge.membership.Member;
import org.magnoliabridge.membership.MembershipInput;
import org.magnoliabridge.routing.AdmissionCore;
import org.magnoliabridge.routing.AdmissionInput;
import org.magnoliabridge.routing.DemandShare;
import org.magnoliabridge.routing.Dispatcher;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Publishes this node's demand per team and sets its share of each team's rate; control thread only. */
final class RateShareDriver implements MembershipDriver.Listener {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String PREFIX = "demand.";
    private static final long PERIOD_MS = 2_000;
    private static final long MAX_DEMAND_AGE_MS = 15_000;
    // With more members the demand items alone would exceed the 4 KB/s for control traffic; shares are then equal.
    private static final int MAX_PUBLISHING_MEMBERS = 32;
    // Keeps an item below its limit of 256 bytes; the teams with the highest demand are kept.
    private static final int MAX_TEAMS = 8;
    private static final int MAX_TEAM_CHARS = 20;

    private final NodeContext context;
    private final MembershipDriver membership;
    private final AdmissionCore admission;
    private final Dispatcher dispatcher;
    private final Map<String, Demand> demandByNode = new TreeMap<>();

    private record Demand(Map<TeamId, Double> teams, long atMs) {}

    RateShareDriver(NodeContext context, MembershipDriver membership, AdmissionCore admission, Dispatcher dispatcher) {
        this.context = context;
        this.membership = membership;
        this.admission = admission;
        this.dispatcher = dispatcher;
    }

    void start() {
        membership.addListener(this);
        context.loop().postPeriodically(PERIOD_MS, this::update);
    }

    @Override
    public void delivered(Item item) {
        if (item.name().startsWith(PREFIX)) {
            try {
                Map<TeamId, Double> teams = unpack(item.payload());
                demandByNode.put(
                        item.name().substring(PREFIX.length()),
                        new Demand(teams, context.clock().nowMs()));
            } catch (IOException | MessagePackException | IllegalArgumentException e) {
                context.metrics().counter("peers.malformed.demand").inc();
                LOG.atWarning().log("malformed demand item");
            }
        }
    }

    @Override
    public void confirmed(List<Long> versions, long confirmedAtMs) {}

    @Override
    public void majority(boolean reached) {}

    private void update() {
        long nowMs = context.clock().nowMs();
        List<NodeId> others = membership.members().stream()
                .filter(Member::acceptsWork)
                .map(Member::id)
                .filter(id -> !id.equals(context.settings().nodeId()))
                .toList();
        int members = others.size() + 1;
        Map<TeamId, Double> own = admission.demand(nowMs);
        if (members <= MAX_PUBLISHING_MEMBERS) {
            publishDemand(own);
        }
        demandByNode
                .keySet()
                .removeIf(name -> others.stream().noneMatch(id -> id.value().equals(name)));
        boolean current = members <= MAX_PUBLISHING_MEMBERS
                && others.stream().allMatch(id -> isCurrent(demandByNode.get(id.value()), nowMs));
        dispatcher.post(new AdmissionInput.Shares(shares(own, members, current), 1.0 / members));
    }

    private static boolean isCurrent(Demand demand, long nowMs) {
        return demand != null && nowMs - demand.atMs() <= MAX_DEMAND_AGE_MS;
    }

    private Map<TeamId, Double> shares(Map<TeamId, Double> own, int members, boolean current) {
        Map<TeamId, Double> shares = new HashMap<>();
        own.forEach((team, demand) -> {
            List<Double> elsewhere = new ArrayList<>();
            demandByNode.values().forEach(p -> elsewhere.add(p.teams().getOrDefault(team, 0.0)));
            shares.put(team, DemandShare.of(demand, elsewhere, members, current));
        });
        return shares;
    }

    private void publishDemand(Map<TeamId, Double> own) {
        Item item = new Item(
                PREFIX + context.settings().nodeId(), context.wallClock().getAsLong(), pack(own));
        membership.handle(new MembershipInput.ItemAccepted(item));
    }

    private static byte[] pack(Map<TeamId, Double> demand) {
        List<Map.Entry<TeamId, Double>> most = demand.entrySet().stream()
                .filter(e -> e.getValue() > 0 && e.getKey().value().length() <= MAX_TEAM_CHARS)
                .sorted(Map.Entry.<TeamId, Double>comparingByValue(Comparator.reverseOrder()))
                .limit(MAX_TEAMS)
                .toList();
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packMapHeader(most.size());
            for (Map.Entry<TeamId, Double> entry : most) {
                out.packString(entry.getKey().value())
                        .packFloat(entry.getValue().floatValue());
            }
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("unexpected I/O error on an in-memory buffer", e);
        }
    }

    private static Map<TeamId, Double> unpack(byte[] payload) throws IOException {
        Map<TeamId, Double> demand = new HashMap<>();
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(payload)) {
            int count = in.unpackMapHeader();
            for (int i = 0; i < count; i++) {
                demand.put(new TeamId(in.unpackString()), (double) in.unpackFloat());
            }
        }
        return demand;
    }
}
