/** The prefix cache: block keys, indexes of copies in engines and stores, export, eviction and prefetch. */
package org.yuccagw.core.cache;
