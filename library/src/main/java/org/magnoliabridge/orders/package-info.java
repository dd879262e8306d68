/** Orders that a lease holder sends: starting and stopping endpoints, sizing capacity, and rolling out weights. */
package org.magnoliabridge.orders;
