/** Value types for what the platform lists: endpoints, entries, and the weights that operators named. */
package org.yuccagw.core.fleet;
