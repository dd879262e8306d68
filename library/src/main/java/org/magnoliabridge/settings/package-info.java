/** Reads and validates JSON with comments; each error names the field, its line and what was expected. */
package org.magnoliabridge.settings;
