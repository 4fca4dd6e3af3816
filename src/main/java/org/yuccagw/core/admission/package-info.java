/** Admission: limits that hold over all entries by lent shares, fair queues, and early refusal. */
package org.yuccagw.core.admission;
