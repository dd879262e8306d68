/** Steps of samples: generation, staleness, delivery exactly once, acknowledgement. */
package org.magnoliabridge.rollout;
