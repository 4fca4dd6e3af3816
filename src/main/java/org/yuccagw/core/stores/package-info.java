/**
 * Contents of the cache stores and engine caches, and the plans of which parts of a prompt are fetched and saved where.
 */
package org.yuccagw.core.stores;
