/** Rolling weight swaps, limited by permits, a floor of serving replicas and the bandwidth of the weight store. */
package org.yuccagw.core.swap;
