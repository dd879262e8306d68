/** Which node addresses a caller should use. */
package org.magnoliabridge.addresses;
