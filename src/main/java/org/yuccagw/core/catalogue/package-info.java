/** The operators' catalogue: its contents, its edits and its distribution to all entries. */
package org.yuccagw.core.catalogue;
