/** Which data centres the platform's operator has evacuated: their endpoints get no new work. */
package org.magnoliabridge.evacuation;
