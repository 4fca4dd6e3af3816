/** What entries tell each other all the time: that they live, what they know and what they carry. */
package org.yuccagw.core.peers;
