/** Reads settings and catalogue documents in JSON with comments; every error names the position and a correction. */
package org.yuccagw.adapters.settings;
