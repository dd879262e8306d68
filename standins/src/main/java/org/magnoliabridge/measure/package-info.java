/** Measures what each duty of a node costs at several sizes and fits lines to the figures. */
package org.magnoliabridge.measure;
