package org.yuccagw.platform;

/** Names on the wire of the platform. Where a name says little, its comment says what it holds. */
final class PlatformNames {
    // ---- Headers of requests.
    static final String REQUEST_ID = "Yuccagw-Request-Id";
    static final String DEADLINE = "Yuccagw-Deadline-Ms";
    static final String MODEL = "Yuccagw-Model";
    /** Prompt tokens and most tokens of the answer, with a comma between them. */
    static final String TOKEN_USAGE = "Yuccagw-Token-Usage";
    /** Parts of the prompt; not hashes of a prefix. */
    static final String PROMPT_PARTS = "Yuccagw-Prefix-Hash";

    static final String LENGTH_HINT = "Yuccagw-Length-Hint";
    static final String LAST_EVENT = "Last-Event-Id";
    static final String WORKSPACE = "Yuccagw-Tenant";
    static final String EXPECT_ENDPOINT = "Yuccagw-Expect-Instance";
    static final String EXPECT_VERSION = "Yuccagw-Expect-Version";
    static final String CACHE_SALT = "Yuccagw-Cache-Salt";
    /** 0 is the most urgent, 9 the least. */
    static final String URGENCY = "Yuccagw-Request-Priority";

    static final String KV_FETCH = "Yuccagw-Kv-Fetch";
    static final String KV_SAVE = "Yuccagw-Kv-Save";
    static final String KV_UNTIL = "Yuccagw-Kv-Until";
    static final String KV_BACKUP = "Yuccagw-Kv-Backup";
    static final String KV_FROM = "Kv-From";
    static final String HOLD = "Yuccagw-Hold";
    static final String PIN = "Yuccagw-Pin-Ms";

    // ---- Headers of answers.
    /** Proves that an answer is an endpoint's own and whole. */
    static final String SEAL = "Yuccagw-Response-Seal";

    static final String NOT_RUN = "Yuccagw-Not-Executed";
    static final String ENDPOINT_ID = "Yuccagw-Instance-Id";
    static final String VERSION_RUN = "Yuccagw-Weight-Versions";
    /** Requests a second from all entries together; a decimal number. */
    static final String RATE_LIMIT = "Server-Limit";
    /** 1 of an endpoint that takes no new work. */
    static final String LEAVING = "Server-Leaving";

    /** Seconds, maybe with a fraction. */
    static final String RETRY_AFTER = "Retry-After";

    // ---- Calls.
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

    // ---- Keys.
    static final String CONFIGURATION_KEY = "op/config";
    static final String WEIGHTS_KEYS = "op/version/";
    /** Followed by the name of a failure domain; what lies there says nothing more. */
    static final String EVACUATION_KEYS = "op/evacuate/";

    static final String ENDPOINT_KEYS = "servers/";
    static final String ENTRY_KEYS = "yuccagw/entry/";
    static final String DUTY_KEYS = "yuccagw/duty/";

    // ---- Fields of the key-value service.
    static final String KEY = "key";
    static final String VALUE = "value";
    static final String REVISION = "revision";
    /** The revision of the whole service, not of an item. */
    static final String STORE_REVISION = "storeRevision";

    static final String LEASE = "lease";
    static final String REMOVED = "removed";
    static final String TRUNCATED = "truncated";
    static final String EVENTS = "events";
    static final String ITEMS = "items";
    static final String TIME_TO_LIVE = "ttlMs";

    private PlatformNames() {}
}
