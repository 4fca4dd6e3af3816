/** Endpoints that ask for fewer requests: what they ask for, and what this entry may still send them. */
package org.yuccagw.core.ratelimit;
