/**
 * The daemons of an entry. {@link org.yuccagw.daemon.EntryDaemon} and {@link org.yuccagw.daemon.GatewayDaemon} connect
 * the control core with its adapters and with the addresses on which the entry listens.
 */
package org.yuccagw.daemon;
