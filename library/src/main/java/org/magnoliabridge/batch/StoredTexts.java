package org.magnoliabridge.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliabridge.ids.ItemId;

/**
 * The texts in progress that are stored in a batch's log, by item and by the runner that stored them.
 *
 * <p>Load pattern: the process that runs the batches dies, or all processes do, while the longest items of a step are
 * some seconds into their texts. These items alone determine when the step is complete, and have no time to start over.
 */
final class StoredTexts {
    private final Map<ItemId, Map<String, List<Transcript.Event>>> texts = new HashMap<>();

    /** Applies a segment of the log. */
    void add(ResultSegment segment) {
        String writer = segment.writer().process();
        for (PartialText part : segment.texts()) {
            List<Transcript.Event> known = texts.computeIfAbsent(part.item(), i -> new HashMap<>())
                    .computeIfAbsent(writer, w -> new ArrayList<>());
            long first = part.events().getFirst().number();
            if (first <= known.size()) {
                // The writer has restarted this text.
                known.subList((int) first - 1, known.size()).clear();
            }
            if (first == known.size() + 1) {
                known.addAll(part.events());
            }
        }
        segment.results().forEach(r -> texts.remove(r.item()));
    }

    /** Returns the longest text of an item that a batch may use. */
    Optional<Transcript> find(BatchHead batch, ItemId item) {
        Optional<Transcript> longest = Optional.empty();
        for (List<Transcript.Event> events : texts.getOrDefault(item, Map.of()).values()) {
            Transcript text = new Transcript(events, false);
            boolean longer = longest.map(l -> l.lastEvent() < text.lastEvent()).orElse(true);
            if (longer && text.isUsableFor(batch)) {
                longest = Optional.of(text);
            }
        }
        return longest;
    }

    /** Returns the events of a text that a writer has not stored yet; all of them if the text was restarted. */
    List<Transcript.Event> unstoredEvents(String writer, ItemId item, List<Transcript.Event> text) {
        List<Transcript.Event> known = texts.getOrDefault(item, Map.of()).getOrDefault(writer, List.of());
        int same = known.size();
        boolean extendsKnown =
                same <= text.size() && (same == 0 || text.get(same - 1).equals(known.get(same - 1)));
        return extendsKnown ? text.subList(same, text.size()) : text;
    }
}
