/** Sends requests to endpoints directly or through other entries, and relays the requests of other entries. */
package org.yuccagw.adapters.relay;
