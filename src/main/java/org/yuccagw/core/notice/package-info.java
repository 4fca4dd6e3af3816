/** What endpoints say of themselves in their answers, and what follows for calls of this entry. */
package org.yuccagw.core.notice;
