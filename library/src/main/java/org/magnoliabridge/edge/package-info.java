/** The HTTP servers of a node: one for callers and one for operators. */
package org.magnoliabridge.edge;
