/** Small HTTP stand-ins for the systems outside, used by tests and the demo. */
package org.magnoliabridge.standins;
