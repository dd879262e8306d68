/**
 * Batches of items that run later: acceptance exactly once, a result log whose positions never change, and the schedule
 * of items on engines.
 */
package org.magnoliabridge.batch;
