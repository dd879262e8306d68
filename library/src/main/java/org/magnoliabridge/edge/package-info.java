/** The HTTP servers of a node: the one that callers use, and the one for operators. */
package org.magnoliabridge.edge;
