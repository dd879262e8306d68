/** API keys of teams: format, hash, constant-time authentication, and removal from requests. */
package org.magnoliabridge.keys;
