/** Parses the decision logs of entries and summarizes them, to analyse what happened to a request. */
package org.yuccagw.adapters.decisions;
