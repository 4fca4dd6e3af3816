/** The core's interfaces to external systems: the key-value service and the other entries. */
package org.yuccagw.core.port;
