/** Which nodes are there: failure detection, the member table, and the spreading of versioned items. */
package org.magnoliabridge.membership;
