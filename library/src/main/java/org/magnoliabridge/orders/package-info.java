/** Orders of a lease holder: endpoints to start and stop, the capacity behind them, and weight roll-out. */
package org.magnoliabridge.orders;
