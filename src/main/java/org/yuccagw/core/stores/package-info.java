/** What the cache stores hold, and from where a prompt's parts are fetched and to where they are saved. */
package org.yuccagw.core.stores;
