/** Transport between entries: protobuf over Netty, with one codec for each component of the control core. */
package org.yuccagw.adapters.peer;
