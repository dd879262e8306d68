/** The parts that every slice shares: the monotonic clock, the control thread and the closer. */
package org.magnoliabridge.core;
