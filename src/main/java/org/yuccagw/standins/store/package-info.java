/** Stand-in for a cache store, with sealed generations of blocks in memory and on disk, behind a rate-limited link. */
package org.yuccagw.standins.store;
