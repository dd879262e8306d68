/** The node daemon and the command line. */
package org.magnoliabridge.daemon;
