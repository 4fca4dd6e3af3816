/**
 * Quarantine of prompts that terminate the endpoints running them: counted over all entries, isolated, then refused.
 */
package org.yuccagw.core.quarantine;
