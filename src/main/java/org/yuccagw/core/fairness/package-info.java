/** Start-time fair queueing, for every place where workspaces or request classes compete for the same capacity. */
package org.yuccagw.core.fairness;
