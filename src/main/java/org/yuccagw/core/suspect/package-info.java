/**
 * Parts of prompts that make endpoints crash: which part a crash is blamed on, and who refuses prompts with it.
 */
package org.yuccagw.core.suspect;
