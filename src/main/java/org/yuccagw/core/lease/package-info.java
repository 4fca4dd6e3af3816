/** Leases of the key-value service: acquisition, renewal, and detection of their expiry on the holder. */
package org.yuccagw.core.lease;
