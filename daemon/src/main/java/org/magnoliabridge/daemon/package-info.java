/** The node daemon: its entry points, and the drivers that connect the cores to threads, network and platform. */
package org.magnoliabridge.daemon;
