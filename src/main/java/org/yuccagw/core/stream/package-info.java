/** Server-sent events as bytes: where they end, and which of them are complete. */
package org.yuccagw.core.stream;
