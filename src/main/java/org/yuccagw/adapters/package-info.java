/** What connects the core to the world: HTTP, peers, the platform, settings, telemetry. */
package org.yuccagw.adapters;
