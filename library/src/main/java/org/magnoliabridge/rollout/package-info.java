/** Rollout steps: samples are generated and scored, kept within a staleness limit and delivered exactly once. */
package org.magnoliabridge.rollout;
