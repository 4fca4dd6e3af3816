package org.yuccagw.core.admission;

/**
 * The admission state of one entry, as shown to operators.
 *
 * @param running number of requests that were admitted and have not ended
 * @param waiting number of requests in the fair queues
 * @param refused number of requests refused since the start, because of limits or the predicted wait
 */
public record AdmissionSnapshot(int running, int waiting, long refused) {}
