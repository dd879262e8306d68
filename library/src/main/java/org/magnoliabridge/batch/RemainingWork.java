package org.magnoliabridge.batch;

import java.util.Map;
import org.magnoliabridge.ids.ModelId;
import org.magnoliabridge.ids.ServiceId;

/**
 * The slot time that open items still need, in milliseconds.
 *
 * @param byModel only items of batches that name a model
 */
public record RemainingWork(Map<ServiceId, Double> byService, Map<ModelId, Double> byModel) {}
