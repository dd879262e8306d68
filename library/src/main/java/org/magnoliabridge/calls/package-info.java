/**
 * Calls to engines and plain services: checks that responses are complete, enforces time limits, retries and resumes
 * within a retry budget, and cancels.
 */
package org.magnoliabridge.calls;
