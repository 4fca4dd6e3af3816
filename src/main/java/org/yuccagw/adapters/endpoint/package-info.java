/** Probes endpoints and sends orders to them in yuccagw's own protocol, over HTTP. */
package org.yuccagw.adapters.endpoint;
