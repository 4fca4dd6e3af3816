/** Leases of the key-value service, and what ends the belief in one. */
package org.yuccagw.core.lease;
