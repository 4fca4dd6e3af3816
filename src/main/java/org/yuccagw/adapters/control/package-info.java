/** The control thread: a Disruptor ring that passes events to the control core and executes the resulting effects. */
package org.yuccagw.adapters.control;
