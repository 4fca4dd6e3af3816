/** The size of a prompt and its parts, which other prompts may share. */
package org.yuccagw.core.prompt;
