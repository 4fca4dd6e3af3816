package org.yuccagw.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.yuccagw.standins.keyvalue.KeyValueStandIn;
import org.yuccagw.standins.platform.PlatformDocuments;

/** The configurations of a soak and the times at which each was written. */
final class SoakConfiguration {
    static final String MODEL = "model";
    static final String PERMANENT_KEY = "permanent-key";

    /** The bound within which every entry applies a configuration that was acknowledged. */
    private static final Duration APPLIED_WITHIN = Duration.ofSeconds(2);

    private static final int ATTEMPTS = 2;

    private final KeyValueStandIn keyValue;
    private byte[] latestDocument = new byte[0];
    private final List<Version> versions = new ArrayList<>();

    SoakConfiguration(KeyValueStandIn keyValue) {
        this.keyValue = keyValue;
    }

    /**
     * One configuration.
     *
     * @param guestNumber the number of the one guest key that it holds
     * @param addedRoutes the number of routes that were added
     * @param timeoutMillis the timeout of every route
     */
    record Version(int guestNumber, int addedRoutes, int timeoutMillis, long putNanos, long acknowledgedNanos) {
        static final Version FIRST = new Version(1, 0, 6_000, 0, 0);

        Version withNextGuest() {
            return new Version(guestNumber + 1, addedRoutes, timeoutMillis, 0, 0);
        }

        Version withAddedRoute() {
            return new Version(guestNumber, addedRoutes + 1, timeoutMillis, 0, 0);
        }

        Version withTimeout(int millis) {
            return new Version(guestNumber, addedRoutes, millis, 0, 0);
        }

        String guestKey() {
            return "guest-" + guestNumber;
        }

        String lastRevokedKey() {
            return "guest-" + (guestNumber - 1);
        }

        String addedPrefix() {
            return "/added-" + addedRoutes + "/";
        }

        boolean allows(SoakCall call) {
            boolean known = call.key().equals(PERMANENT_KEY) || call.key().equals(guestKey());
            return known && call.addedRoute() <= addedRoutes;
        }
    }

    synchronized Version current() {
        return versions.isEmpty() ? Version.FIRST : versions.get(versions.size() - 1);
    }

    synchronized void publish(Version next) {
        PlatformDocuments document = PlatformDocuments.configuration(versions.size() + 1);
        for (SoakRoute route : SoakRoute.values()) {
            document.route(route.prefix(), route.kind(), route.service(), next.timeoutMillis(), ATTEMPTS);
            if (route == SoakRoute.RESUMABLE) {
                document.resumable();
            }
        }
        for (int number = 1; number <= next.addedRoutes(); number++) {
            document.route(
                    "/added-" + number + "/",
                    "idempotent",
                    SoakRoute.REPEATABLE.service(),
                    next.timeoutMillis(),
                    ATTEMPTS);
        }
        document.plain(SoakRoute.REPEATABLE.service()).engines(SoakRoute.RESUMABLE.service(), MODEL);
        document.workspace("ministry", PERMANENT_KEY, false);
        document.workspace("guests", next.guestKey(), false);
        long putNanos = System.nanoTime();
        latestDocument = document.bytes();
        publishAgain();
        versions.add(
                new Version(next.guestNumber(), next.addedRoutes(), next.timeoutMillis(), putNanos, System.nanoTime()));
    }

    /** Writes the latest configuration once more, as operators do when the service has lost it. */
    synchronized void publishAgain() {
        keyValue.put(PlatformDocuments.CONFIGURATION, latestDocument);
    }

    /** Returns the configurations that an entry may have applied to a request that was sent and ended then. */
    synchronized List<Version> inForce(SoakCall call) {
        List<Version> possible = new ArrayList<>();
        for (int index = 0; index < versions.size(); index++) {
            Version next = index + 1 < versions.size() ? versions.get(index + 1) : null;
            boolean replaced =
                    next != null && call.sentNanos() - next.acknowledgedNanos() - APPLIED_WITHIN.toNanos() > 0;
            if (!replaced && versions.get(index).putNanos() - call.endNanos() <= 0) {
                possible.add(versions.get(index));
            }
        }
        return possible;
    }
}
