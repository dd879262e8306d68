/**
 * Relays one call to an engine or plain service: checks that the answer is whole, keeps limits, retries and resumes
 * within a budget, and cancels.
 */
package org.magnoliabridge.calls;
