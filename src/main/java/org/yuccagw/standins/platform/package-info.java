/** What operators and endpoints of the users' platform would write, in its own protocol. */
package org.yuccagw.standins.platform;
