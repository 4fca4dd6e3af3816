/**
 * Forecasts how long running streams pause while their engine prefills other prompts, and what a further prompt costs
 * the streams of an engine and itself. Decides nothing by itself: placement adds these costs to its own.
 */
package org.yuccagw.core.pacing;
