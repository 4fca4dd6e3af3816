package org.yuccagw.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.yuccagw.adapters.http.HttpRequest;
import org.yuccagw.adapters.http.JsonText;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.port.KeyValueCall;
import org.yuccagw.core.port.KeyValueRevision;

/** Encodes calls to the key-value service as HTTP requests. */
final class KeyValueRequests {
    private KeyValueRequests() {}

    /**
     * Returns the request for one page of the keys under a prefix.
     *
     * @param afterKey the last key of the previous page; empty for the first page
     */
    static HttpRequest encodePage(NetworkAddress address, String prefix, String afterKey) {
        String after = afterKey.isEmpty() ? "" : "&after=" + escape(afterKey);
        return HttpRequest.get(address, PlatformNames.RANGE_PATH + "?pathPrefix=" + escape(prefix) + after);
    }

    /** Returns the request for any call but {@code ReadPrefix}, which is read in pages. */
    static HttpRequest encodeCall(NetworkAddress address, KeyValueCall call) {
        if (call instanceof KeyValueCall.Read read) {
            return HttpRequest.get(address, PlatformNames.KEY_PATH + "?key=" + escape(read.key()));
        }
        if (call instanceof KeyValueCall.Watch watch) {
            return HttpRequest.get(
                    address,
                    PlatformNames.WATCH_PATH + "?pathPrefix=" + escape(watch.prefix()) + "&after="
                            + KeyValueRevision.number(watch.afterRevision()) + "&waitMs="
                            + watch.maxWait().toMillis());
        }
        if (call instanceof KeyValueCall.CompareAndSwap swap) {
            return compareAndSwap(address, swap);
        }
        if (call instanceof KeyValueCall.Delete delete) {
            ObjectNode body = conditions(delete.key(), delete.expectedRevision());
            body.putArray("puts");
            body.putArray("deletes").add(delete.key());
            return post(address, PlatformNames.TRANSACTION_PATH, body);
        }
        if (call instanceof KeyValueCall.GrantLease grant) {
            ObjectNode body = JsonText.object()
                    .put(PlatformNames.TIME_TO_LIVE, grant.timeToLive().toMillis());
            return post(address, PlatformNames.LEASE_PATH, body);
        }
        if (call instanceof KeyValueCall.RenewLease renew) {
            return post(address, PlatformNames.RENEW_PATH + renew.lease().value(), JsonText.object());
        }
        if (call instanceof KeyValueCall.RevokeLease revoke) {
            return HttpRequest.of(
                    "DELETE",
                    address,
                    PlatformNames.REVOKE_PATH + revoke.lease().value());
        }
        throw new IllegalArgumentException("unsupported call: " + call);
    }

    private static HttpRequest compareAndSwap(NetworkAddress address, KeyValueCall.CompareAndSwap swap) {
        ObjectNode body = conditions(swap.key(), swap.expectedRevision());
        ArrayNode puts = body.putArray("puts");
        ObjectNode put = puts.addObject();
        put.put(PlatformNames.KEY, swap.key());
        put.put(PlatformNames.VALUE, Base64.getEncoder().encodeToString(swap.value()));
        swap.lease().ifPresent(lease -> put.put(PlatformNames.LEASE, lease.value()));
        body.putArray("deletes");
        return post(address, PlatformNames.TRANSACTION_PATH, body);
    }

    private static ObjectNode conditions(String key, long revision) {
        ObjectNode body = JsonText.object();
        body.putArray("expected")
                .addObject()
                .put(PlatformNames.KEY, key)
                .put(PlatformNames.REVISION, KeyValueRevision.number(revision));
        return body;
    }

    private static HttpRequest post(NetworkAddress address, String path, ObjectNode body) {
        return HttpRequest.json("POST", address, path, JsonText.write(body));
    }

    private static String escape(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
