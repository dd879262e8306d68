/** Leases: one holder per scope, with a fencing token that increases with every new holder. */
package org.magnoliabridge.lease;
