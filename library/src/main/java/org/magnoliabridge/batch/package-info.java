/**
 * Batches of items that run asynchronously: exactly-once acceptance, a result log whose positions never change, and the
 * assignment of items to engines.
 */
package org.magnoliabridge.batch;
