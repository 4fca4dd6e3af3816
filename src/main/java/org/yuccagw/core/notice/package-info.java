/** The state that endpoints report in their answers, and its consequences for the calls of this entry. */
package org.yuccagw.core.notice;
