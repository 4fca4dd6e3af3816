/** Stand-in for the weight store, whose readers share one rate limit. */
package org.yuccagw.standins.weights;
