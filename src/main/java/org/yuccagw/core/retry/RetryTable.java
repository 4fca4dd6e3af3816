package org.yuccagw.core.retry;

import static org.yuccagw.core.error.ErrorKind.Ran.MAY_HAVE_RUN;
import static org.yuccagw.core.error.ErrorKind.Ran.NOT_RUN;
import static org.yuccagw.core.retry.RetryLayer.CLIENT;
import static org.yuccagw.core.retry.RetryLayer.ENTRY;
import static org.yuccagw.core.retry.RetryLayer.KEY_VALUE_CLIENT;
import static org.yuccagw.core.retry.RetryLayer.NOBODY;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.ErrorKind.Ran;

/**
 * Defines for each failure class which layer may retry the request, and under which conditions.
 *
 * <p>If several layers retry the same failure, their attempts multiply: three layers with three retries each make 64
 * calls of one request. Since each class has one owner, the number of attempts is that of the owner.
 *
 * <p>A request that is not idempotent is retried only if the row says "not run". The one exception is {@link
 * FailureClass#ENTRY_LOST}: the client retries with the same idempotency key, and the claim of that key, not this
 * table, prevents a second run.
 */
public final class RetryTable {
    private static final ImmutableMap<FailureClass, Row> ROWS =
            Maps.immutableEnumMap(ImmutableMap.<FailureClass, Row>builder()
                    .put(FailureClass.CONNECT_FAILED, new Row(ENTRY, NOT_RUN, true, true, true, ErrorKind.NO_ENDPOINT))
                    .put(FailureClass.OVERLOADED, new Row(ENTRY, NOT_RUN, true, true, true, ErrorKind.ENDPOINT_REFUSED))
                    .put(FailureClass.LEAVING, new Row(ENTRY, NOT_RUN, true, true, false, ErrorKind.ENDPOINT_REFUSED))
                    .put(
                            FailureClass.WRONG_VERSION,
                            new Row(ENTRY, NOT_RUN, true, true, false, ErrorKind.ENDPOINT_REFUSED))
                    .put(
                            FailureClass.REJECTED,
                            new Row(NOBODY, NOT_RUN, false, false, false, ErrorKind.ENDPOINT_REJECTED))
                    .put(
                            FailureClass.FAILED,
                            new Row(ENTRY, MAY_HAVE_RUN, true, false, true, ErrorKind.ENDPOINT_FAILED))
                    .put(
                            FailureClass.CONNECTION_RESET,
                            new Row(ENTRY, MAY_HAVE_RUN, true, false, true, ErrorKind.STREAM_LOST))
                    .put(
                            FailureClass.CONNECTION_SILENT,
                            new Row(ENTRY, MAY_HAVE_RUN, true, false, true, ErrorKind.STREAM_LOST))
                    .put(
                            FailureClass.ENDPOINT_DIED,
                            new Row(ENTRY, MAY_HAVE_RUN, true, false, true, ErrorKind.ENDPOINT_FAILED))
                    .put(
                            FailureClass.DEADLINE_PASSED,
                            new Row(NOBODY, MAY_HAVE_RUN, false, false, false, ErrorKind.DEADLINE_PASSED))
                    .put(FailureClass.ENTRY_NOT_READY, new Row(CLIENT, NOT_RUN, true, true, false, ErrorKind.NOT_READY))
                    .put(FailureClass.ENTRY_REFUSED, new Row(CLIENT, NOT_RUN, true, true, true, ErrorKind.OVERLOADED))
                    .put(
                            FailureClass.ENTRY_LOST,
                            new Row(CLIENT, MAY_HAVE_RUN, true, true, true, ErrorKind.STREAM_LOST))
                    .put(
                            FailureClass.KEY_VALUE_REFUSED,
                            new Row(KEY_VALUE_CLIENT, NOT_RUN, true, true, true, ErrorKind.STATE_UNAVAILABLE))
                    .put(
                            FailureClass.KEY_VALUE_LOST,
                            new Row(KEY_VALUE_CLIENT, MAY_HAVE_RUN, true, false, true, ErrorKind.STATE_UNAVAILABLE))
                    .buildOrThrow());

    private RetryTable() {}

    /** Returns the row of a failure class. Every class has one. */
    public static Row row(FailureClass failure) {
        return ROWS.get(failure);
    }

    /**
     * The retry rules of one failure class.
     *
     * @param owner the only layer that may retry
     * @param ran whether the failed attempt may have run
     * @param retriesIdempotent whether an idempotent request may be retried
     * @param retriesNonIdempotent whether a request that is not idempotent may be retried
     * @param spendsBudget whether a retry takes a token from the retry budget of the service. Failures that rule out
     *     the endpoint permanently take none, since each endpoint is tried only once.
     * @param error kind of error that the request ends with if it is not retried
     */
    public record Row(
            RetryLayer owner,
            Ran ran,
            boolean retriesIdempotent,
            boolean retriesNonIdempotent,
            boolean spendsBudget,
            ErrorKind error) {
        boolean allowsRetry(boolean idempotent) {
            return idempotent ? retriesIdempotent : retriesNonIdempotent;
        }
    }
}
