/** Routing: chooses the endpoint of an attempt by the predicted time to the first token and the recomputed tokens. */
package org.yuccagw.core.routing;
