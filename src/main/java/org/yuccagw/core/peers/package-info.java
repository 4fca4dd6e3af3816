/** Periodic messages between entries: heartbeats with liveness, revision and load, and the rosters of leads. */
package org.yuccagw.core.peers;
