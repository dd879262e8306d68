/** Chooses endpoints, queues requests fairly among teams, and tracks the states of endpoints. */
package org.magnoliabridge.routing;
