/** Telemetry of a running entry for operators: decision log, spans for each hop of a request, and metrics. */
package org.yuccagw.adapters.telemetry;
