/** Exchange of authenticated MessagePack frames between nodes over TCP. */
package org.magnoliabridge.wire;
