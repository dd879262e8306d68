package org.magnoliabridge.batch;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.gateway.RouteTable;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.EndpointId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.RouteId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;

/** An input of {@link BatchCore}. */
public sealed interface BatchInput {
    /**
     * Run a batch at this node.
     *
     * @param newlyAccepted whether the batch was accepted just now, so that its log holds no results yet
     */
    record Open(BatchHead head, List<BatchItem> items, boolean newlyAccepted) implements BatchInput {
        public Open {
            items = List.copyOf(items);
        }
    }

    /** The trainer has ended a batch. */
    record End(BatchId batch) implements BatchInput {}

    /**
     * A team has asked to end a batch, and the store has not confirmed it. The batch is ended here if it belongs to the
     * team, and not opened later.
     */
    record EndRequested(BatchMessages.EndRequest request) implements BatchInput {}

    /** This node must stop running batches; another node runs them, or none does. */
    record SteppedDown() implements BatchInput {}

    /**
     * The current configuration.
     *
     * @param version increases with every change, and is above 0
     * @param targets the target of each batch route
     * @param scorers the routes of requests that score texts
     */
    record Routes(long version, Map<RouteId, BatchTarget> targets, RouteTable scorers) implements BatchInput {
        public Routes {
            Objects.requireNonNull(scorers);
            targets = Map.copyOf(targets);
        }

        /** Creates a configuration without routes of requests that score texts. */
        public Routes(long version, Map<RouteId, BatchTarget> targets) {
            this(version, targets, new RouteTable(List.of()));
        }
    }

    /** The newest weight version of a model; some of its engines may not have loaded it yet. */
    record NewestVersion(ModelId model, WeightVersion version) implements BatchInput {}

    /** The events that each run received since the previous Progress input; one arrives several times a second. */
    record Progress(Map<ItemRunId, List<Transcript.Event>> events) implements BatchInput {
        public Progress {
            events = Map.copyOf(events);
        }
    }

    /**
     * The engines that items may be assigned to, and the endpoints of the services that score texts.
     *
     * @param evacuated engines in evacuated data centres, whose runs move to another engine
     */
    record Engines(List<EngineState> engines, Set<EndpointId> evacuated) implements BatchInput {
        public Engines {
            engines = List.copyOf(engines);
            evacuated = Set.copyOf(evacuated);
        }

        /** Creates an input without evacuated engines. */
        public Engines(List<EngineState> engines) {
            this(engines, Set.of());
        }
    }

    /**
     * A run has ended.
     *
     * @param events the complete events of the run, in order and without gaps
     */
    record RunEnded(ItemRunId run, RunOutcome outcome, List<Transcript.Event> events) implements BatchInput {
        public RunEnded {
            events = List.copyOf(events);
        }
    }

    /** A call for a score has ended. */
    record ScoreEnded(ScoreCallId call, ScoreOutcome outcome) implements BatchInput {}

    /** The reply to the store request of the {@link BatchEffect.Store} with the same tag. */
    record StoreReplied(long tag, StoreReply reply) implements BatchInput {}

    /**
     * A request for results.
     *
     * @param ticket identifies the request in the {@link BatchEffect.Answer}
     * @param after position of the first result wanted, counted from 0
     * @param waitMs maximum time to wait for a result
     */
    record Read(long ticket, BatchId batch, TeamId team, int after, long waitMs) implements BatchInput {}

    /** A request for the body of an item that has no result yet. */
    record ReadBody(long ticket, BatchId batch, TeamId team, ItemId item) implements BatchInput {}

    /** A periodic timer. */
    record Tick() implements BatchInput {}
}
