/** Leases: one holder per scope, with a fencing token that rises from holder to holder. */
package org.magnoliabridge.lease;
