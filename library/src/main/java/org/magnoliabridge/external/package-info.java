/** The platform's object API and its other interfaces, and the budgeted client that calls them. */
package org.magnoliabridge.external;
