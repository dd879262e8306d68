/** Reads JSON with comments and checks it; each error names the field, its line and what was expected. */
package org.magnoliabridge.settings;
