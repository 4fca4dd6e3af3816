/** Every decision of yuccagw, without input, output, threads, clock or random source of its own. */
package org.yuccagw.core;
