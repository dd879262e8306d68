/** Logs and spans as JSON lines; neither ever holds a key or a prompt. */
package org.magnoliabridge.telemetry;
