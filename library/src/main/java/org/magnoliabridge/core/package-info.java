/** Classes shared by all packages: the monotonic clock, the control loop, the SIGHUP handler and the closer. */
package org.magnoliabridge.core;
