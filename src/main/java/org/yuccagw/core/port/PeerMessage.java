package org.yuccagw.core.port;

/** A message between two entries. Each kind is a record in the package of the component that sends it. */
public interface PeerMessage {}
