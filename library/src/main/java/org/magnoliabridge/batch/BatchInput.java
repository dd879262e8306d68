package org.magnoliabridge.batch;

import java.util.List;
import java.util.Map;
import org.magnoliabridge.external.StoreReply;
import org.magnoliabridge.ids.BatchId;
import org.magnoliabridge.ids.ItemId;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.RouteId;
import org.magnoliabridge.ids.TeamId;
import org.magnoliabridge.ids.WeightVersion;

/** What {@link BatchCore} is told. */
public sealed interface BatchInput {
    /**
     * A batch is to be run here.
     *
     * @param fresh whether it was accepted just now, so that no results are expected in its log
     */
    record Open(BatchHead head, List<BatchItem> items, boolean newlyAccepted) implements BatchInput {
        public Open {
            items = List.copyOf(items);
        }
    }

    /** The trainer has ended a batch. */
    record End(BatchId batch) implements BatchInput {}

    /** Another node runs the batches now, or none does. */
    record SteppedDown() implements BatchInput {}

    /** Where the items of each batch route run by the configuration in force. */
    record Routes(Map<RouteId, BatchTarget> targets) implements BatchInput {
        public Routes {
            targets = Map.copyOf(targets);
        }
    }

    /** The newest version of a model, which some of its engines may still have to load. */
    record NewestVersion(ModelId model, WeightVersion version) implements BatchInput {}

    /** The events that each run has brought since the last input of this kind; given several times a second. */
    record Progress(Map<ItemRunId, List<Transcript.Event>> events) implements BatchInput {
        public Progress {
            events = Map.copyOf(events);
        }
    }

    /** The engines that may get items. */
    record Engines(List<EngineState> engines) implements BatchInput {
        public Engines {
            engines = List.copyOf(engines);
        }
    }

    /**
     * A run has ended.
     *
     * @param events those that arrived whole and in order
     */
    record RunEnded(ItemRunId run, RunOutcome outcome, List<Transcript.Event> events) implements BatchInput {
        public RunEnded {
            events = List.copyOf(events);
        }
    }

    /** The reply to the store request with the tag. */
    record StoreReplied(long tag, StoreReply reply) implements BatchInput {}

    /**
     * Somebody asks for results.
     *
     * @param after position of the first result wanted, counted from 0
     * @param waitMs how long to wait for one
     */
    record Read(long ticket, BatchId batch, TeamId team, int after, long waitMs) implements BatchInput {}

    /** Somebody asks for the body of an item without a result. */
    record ReadBody(long ticket, BatchId batch, TeamId team, ItemId item) implements BatchInput {}

    /** Time has passed. */
    record Tick() implements BatchInput {}
}
