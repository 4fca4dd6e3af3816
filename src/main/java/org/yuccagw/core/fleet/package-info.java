/** What the platform lists: endpoints, the weights that operators named, and the other entries. Values only. */
package org.yuccagw.core.fleet;
