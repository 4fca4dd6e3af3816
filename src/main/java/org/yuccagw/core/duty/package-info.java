/**
 * Duties that one entry performs for all: the election of the holder, and the orders that update engines to named
 * weights.
 */
package org.yuccagw.core.duty;
