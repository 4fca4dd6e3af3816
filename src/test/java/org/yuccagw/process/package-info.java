/**
 * Tests with real processes under faults: entries and stand-ins in separate JVMs, connections through fault proxies.
 */
package org.yuccagw.process;
