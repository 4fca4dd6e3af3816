/** Gossip-based membership of entries, the directory derived from it, and the graceful stop. */
package org.yuccagw.core.membership;
