package org.yuccagw.core.follow;

import java.time.Duration;
import org.yuccagw.core.control.ControlContext;
import org.yuccagw.core.lease.Moment;
import org.yuccagw.core.port.KeyValueAnswer;
import org.yuccagw.core.port.KeyValueCall;

/** Asks the key-value service on request whether the copy of the followed keys is complete, one call at a time. */
final class CopyConfirmation {
    /** The service answers at once if there are changes, and after this time if there are none. */
    private static final Duration WAIT = Duration.ofMillis(20);

    private final String prefix;
    private ControlContext context;
    private boolean asking;
    private boolean wantedAgain;

    private CopyConfirmation(String prefix) {
        this.prefix = prefix;
    }

    static CopyConfirmation of(String prefix) {
        return new CopyConfirmation(prefix);
    }

    void start(ControlContext startContext) {
        context = startContext;
    }

    /**
     * Asks the service, at once or after the call that is in progress. Raises {@link CopyConfirmed}.
     *
     * @param copy the copy that is to be confirmed
     */
    void request(Copy copy) {
        if (asking) {
            wantedAgain = true;
            return;
        }
        asking = true;
        Moment sent = Moment.now(context);
        context.call(new KeyValueCall.Watch(prefix, copy.revision(), WAIT), answer -> {
            asking = false;
            if (answer instanceof KeyValueAnswer.Found found) {
                copy.include(found, sent);
            }
            context.raise(new CopyConfirmed(answer instanceof KeyValueAnswer.Found, sent.nanos()));
            if (wantedAgain) {
                wantedAgain = false;
                request(copy);
            }
        });
    }

    /** The copy of the followed keys. */
    interface Copy {
        /** Returns the highest revision that the copy includes. */
        long revision();

        /**
         * Includes changes after that revision.
         *
         * @param sent when the service was asked for them
         */
        void include(KeyValueAnswer.Found changes, Moment sent);
    }
}
