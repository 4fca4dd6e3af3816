/**
 * Stand-in for the key-value service, with compare-and-swap, leases, watches, call counts, rate limits and simulated
 * outages.
 */
package org.yuccagw.standins.keyvalue;
