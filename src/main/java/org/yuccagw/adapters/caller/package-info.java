/**
 * The caller address: directory, completions, plain services and resume. Connects HTTP exchanges to the request
 * machine.
 */
package org.yuccagw.adapters.caller;
