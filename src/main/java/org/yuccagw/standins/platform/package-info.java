/** Simulated operators and endpoints of the users' platform, with the documents and headers of its protocol. */
package org.yuccagw.standins.platform;
