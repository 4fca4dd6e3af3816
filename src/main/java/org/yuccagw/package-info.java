/** A serving system for prompts that return after long gaps. */
package org.yuccagw;
