/** The shape of a prompt: its size and the parts that other prompts share. */
package org.yuccagw.core.prompt;
