/** Usage per window and team: counting, replication, sealing and reporting. */
package org.magnoliabridge.usage;
