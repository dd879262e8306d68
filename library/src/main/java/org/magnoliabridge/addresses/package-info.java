/** Selection of the node addresses that a caller should use. */
package org.magnoliabridge.addresses;
