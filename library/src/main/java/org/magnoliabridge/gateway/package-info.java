/** Requests that are forwarded by host and path: the routing table, access by team key, and the HTTP server. */
package org.magnoliabridge.gateway;
