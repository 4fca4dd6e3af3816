package org.yuccagw.platform;

/** Names in the platform's protocols. A comment gives the content of a name that is not self-explanatory. */
final class PlatformNames {
    // ---- Request headers
    static final String REQUEST_ID = "Yuccagw-Request-Id";
    static final String DEADLINE = "Yuccagw-Deadline-Ms";
    static final String MODEL = "Yuccagw-Model";
    /** The number of prompt tokens and the maximum number of answer tokens, separated by a comma. */
    static final String TOKEN_USAGE = "Yuccagw-Token-Usage";
    /** The parts of the prompt with their token counts. Despite the name, the values are not hashes of prefixes. */
    static final String PROMPT_PARTS = "Yuccagw-Prefix-Hash";

    static final String LENGTH_HINT = "Yuccagw-Length-Hint";
    static final String LAST_EVENT = "Last-Event-Id";
    /** The id of the request whose answer brought the first event of a stream that a caller takes up again. */
    static final String RESUMES = "Resumes";

    static final String WORKSPACE = "Yuccagw-Tenant";
    static final String EXPECT_ENDPOINT = "Yuccagw-Expect-Instance";
    static final String EXPECT_VERSION = "Yuccagw-Expect-Version";
    static final String CACHE_SALT = "Yuccagw-Cache-Salt";
    /** The urgency of a request, from 0 (most urgent) to 9 (least urgent). */
    static final String URGENCY = "Yuccagw-Request-Priority";

    static final String KV_FETCH = "Yuccagw-Kv-Fetch";
    static final String KV_SAVE = "Yuccagw-Kv-Save";
    static final String KV_UNTIL = "Yuccagw-Kv-Until";
    static final String KV_BACKUP = "Yuccagw-Kv-Backup";
    static final String KV_FROM = "Kv-From";
    static final String HOLD = "Yuccagw-Hold";
    static final String PIN = "Yuccagw-Pin-Ms";

    // ---- Response headers
    /** Marks an answer as complete and produced by an endpoint itself. */
    static final String SEAL = "Yuccagw-Response-Seal";

    static final String NOT_RUN = "Yuccagw-Not-Executed";
    static final String ENDPOINT_ID = "Yuccagw-Instance-Id";
    static final String VERSION_RUN = "Yuccagw-Weight-Versions";
    /** The endpoint's rate limit in requests per second from all entries together; a decimal number. */
    static final String RATE_LIMIT = "Server-Limit";
    /** 1 if the endpoint is leaving and accepts no new requests. */
    static final String LEAVING = "Server-Leaving";
    /** The most requests that the endpoint can reject in a second for lack of room without failing. */
    static final String BRITTLE = "Server-Brittle";

    /** How often the key-value service has been restored from an older copy, counted from any number. */
    static final String STORE_ERA = "Store-Era";

    /** Seconds, possibly with a fraction. */
    static final String RETRY_AFTER = "Retry-After";

    // ---- Paths
    static final String READY_PATH = "/readyz";
    static final String RESOLVE_PATH = "/resolve";
    static final String REPORT_PATH = "/report";
    static final String ORDER_PATH = "/order";
    static final String KEY_PATH = "/kv-key";
    static final String RANGE_PATH = "/kv-range";
    static final String WATCH_PATH = "/kv-watch";
    static final String TRANSACTION_PATH = "/kv-txn";
    static final String LEASE_PATH = "/kv-lease";
    static final String RENEW_PATH = "/kv-keep/";
    static final String REVOKE_PATH = "/kv-lease-end/";

    // ---- Keys in the key-value service
    static final String CONFIGURATION_KEY = "op/config";
    static final String WEIGHTS_KEYS = "op/version/";
    /** Prefix of keys that end with the name of an evacuated failure domain; the value is not used. */
    static final String EVACUATION_KEYS = "op/evacuate/";

    static final String ENDPOINT_KEYS = "servers/";
    static final String ENTRY_KEYS = "yuccagw/entry/";
    static final String DUTY_KEYS = "yuccagw/duty/";
    /** What began streams, by the entry that wrote it and a number. */
    static final String ORIGIN_KEYS = "yuccagw/streams/";

    // ---- JSON fields of the key-value service
    static final String KEY = "key";
    static final String VALUE = "value";
    static final String REVISION = "revision";
    /** The revision of the whole service, as opposed to that of an item. */
    static final String STORE_REVISION = "storeRevision";

    static final String LEASE = "lease";
    static final String REMOVED = "removed";
    static final String TRUNCATED = "truncated";
    static final String EVENTS = "events";
    static final String ITEMS = "items";
    static final String TIME_TO_LIVE = "ttlMs";

    private PlatformNames() {}
}
