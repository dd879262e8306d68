/** The bundle (the configuration of the whole system), its signature, the withdrawn keys, and what a node accepts. */
package org.magnoliabridge.bundle;
