/** The operator command line: bundles, keys, status, endpoints, usage, and the start of a node. */
package org.magnoliabridge.cli;
