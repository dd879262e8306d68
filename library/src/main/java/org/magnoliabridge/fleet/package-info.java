/** The endpoints that the platform lists, with the weights they hold. */
package org.magnoliabridge.fleet;
