/** Keys of teams: format, hash, constant-time look-up, and removal of keys from requests. */
package org.magnoliabridge.keys;
