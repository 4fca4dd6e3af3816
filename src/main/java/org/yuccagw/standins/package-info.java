/**
 * Small stand-ins for the services and engines of the platform, for tests, benchmarks and trials of the system on one
 * machine.
 */
package org.yuccagw.standins;
