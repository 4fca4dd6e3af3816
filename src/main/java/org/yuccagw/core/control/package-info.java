/** The deterministic control core: its components, their environment, and the snapshot that traffic threads read. */
package org.yuccagw.core.control;
