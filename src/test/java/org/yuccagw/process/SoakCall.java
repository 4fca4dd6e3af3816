package org.yuccagw.process;

import java.util.Map;

/**
 * A request as its caller saw it.
 *
 * @param requestLine the method and path
 * @param deadlineMillis the time that the caller would wait
 * @param status the status of the answer, 0 if none began
 * @param complete whether the answer arrived to its end
 * @param headers the headers of the answer with names in lower case
 */
record SoakCall(
        String id,
        SoakEntry entry,
        String requestLine,
        String key,
        int deadlineMillis,
        long sentNanos,
        long endNanos,
        int status,
        boolean complete,
        Map<String, String> headers,
        String body) {

    boolean isRepeatable() {
        for (SoakRoute route : SoakRoute.values()) {
            if (requestLine.contains(route.prefix())) {
                return route.isRepeatable();
            }
        }
        return true;
    }

    /** Returns the number of the added route that it names, 0 if it names a permanent one. */
    int addedRoute() {
        return requestLine.contains("/added-")
                ? Integer.parseInt(requestLine.replaceAll(".*/added-(\\d+)/.*", "$1"))
                : 0;
    }

    long millis() {
        return (endNanos - sentNanos) / 1_000_000;
    }

    /** Returns how long its caller waits after a refusal, at most a third of its time. */
    long retryAfterMillis() {
        double seconds = Double.parseDouble(headers.getOrDefault("retry-after", "0"));
        return Math.min((long) (seconds * 1_000), deadlineMillis / 3);
    }

    boolean isRefusal() {
        return status == 429 || status == 503 || status == 408 || status == 421;
    }

    boolean isSealed() {
        return headers.containsKey("yuccagw-response-seal");
    }

    String describe() {
        return id + " " + requestLine + " at " + entry.name() + " as " + key + " within " + deadlineMillis
                + " ms: status "
                + status + (complete ? ", complete" : ", cut") + " after " + millis() + " ms, " + body.length()
                + " bytes"
                + (status == 200 ? "" : " " + body.lines().findFirst().orElse(""));
    }
}
