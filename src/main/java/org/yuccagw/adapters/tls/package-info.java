/** TLS from PEM files, which are reloaded when they change. */
package org.yuccagw.adapters.tls;
