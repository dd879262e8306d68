/** HTTP calls with separate limits for connecting, the first byte, progress and the whole answer. */
package org.magnoliabridge.http;
