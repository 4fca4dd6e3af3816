/** Work that one entry does for all: who holds it, and the orders that bring engines to named weights. */
package org.yuccagw.core.duty;
