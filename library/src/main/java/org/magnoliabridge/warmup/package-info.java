/** Limits the requests to endpoints that have just started, over all nodes and without a coordinator. */
package org.magnoliabridge.warmup;
