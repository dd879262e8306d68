/** Forwarding of requests by host and path: the configuration, the routing table and admission by team key. */
package org.magnoliabridge.gateway;
