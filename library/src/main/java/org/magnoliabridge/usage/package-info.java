/** Usage per window and team: counting, copies, sealing, reporting. */
package org.magnoliabridge.usage;
