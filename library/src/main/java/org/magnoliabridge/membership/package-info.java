/** Cluster membership: failure detection, the member table, and the dissemination of versioned items. */
package org.magnoliabridge.membership;
