/** The bundle (the configuration of the whole system), its signature, the withdrawals, and what a node has accepted. */
package org.magnoliabridge.bundle;
