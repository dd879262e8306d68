/** Logs and spans as JSON lines; neither contains API keys or prompts. */
package org.magnoliabridge.telemetry;
