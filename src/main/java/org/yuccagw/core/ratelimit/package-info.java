/** Rate limits of endpoints: which limits endpoints requested, and what this entry may still send to them. */
package org.yuccagw.core.ratelimit;
