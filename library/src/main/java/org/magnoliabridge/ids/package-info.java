/** Value types for ids, checked when constructed. */
package org.magnoliabridge.ids;
