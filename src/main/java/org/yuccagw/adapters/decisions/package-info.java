/** Reads the decision log that entries write, for whoever has to explain a request afterwards. */
package org.yuccagw.adapters.decisions;
