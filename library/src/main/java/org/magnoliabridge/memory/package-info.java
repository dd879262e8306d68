/** The memory that callers and endpoints can make a node hold, within one limit for the whole node. */
package org.magnoliabridge.memory;
