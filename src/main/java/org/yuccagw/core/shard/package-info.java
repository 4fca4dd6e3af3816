/** Shards: ownership by lease, and the epoch that serves as fencing number of orders to endpoints. */
package org.yuccagw.core.shard;
