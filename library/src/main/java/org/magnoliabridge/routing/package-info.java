/** Chooses endpoints, queues work fairly between teams, and keeps the state of endpoints. */
package org.magnoliabridge.routing;
