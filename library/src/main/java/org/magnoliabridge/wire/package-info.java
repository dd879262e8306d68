/** Authenticated TCP frames of MessagePack between nodes. */
package org.magnoliabridge.wire;
