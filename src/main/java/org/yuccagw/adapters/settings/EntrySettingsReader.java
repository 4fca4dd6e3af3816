package org.yuccagw.adapters.settings;

import com.google.common.net.InetAddresses;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;
import org.yuccagw.adapters.settings.EntrySettings.LogStyle;
import org.yuccagw.adapters.settings.EntrySettings.TlsFiles;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;

/** Reads the settings of an entry daemon from JSON, which may contain comments. */
public final class EntrySettingsReader {
    private static final Pattern TOKEN_KEY = Pattern.compile("([0-9a-f]{2}){16,}");
    private static final long DEFAULT_BODY_LIMIT_BYTES = 8L * 1024 * 1024;
    private static final long MAX_BODY_LIMIT_BYTES = 1024L * 1024 * 1024;
    private static final long DEFAULT_BODY_TIMEOUT_MILLIS = 15_000;
    private static final String[] FIELDS = {
        "entry",
        "domain",
        "caller",
        "admin",
        "peer",
        "relay",
        "key_value_service",
        "vm_list",
        "token_keys",
        "body_limit_bytes",
        "body_timeout_ms",
        "traces",
        "log",
        "bootstrap_operator_key_hash",
        "caller_tls",
        "admin_tls",
        "peer_tls"
    };

    private EntrySettingsReader() {}

    /**
     * Reads a settings file.
     *
     * @throws YuccagwException of kind SETTINGS_INVALID, which names the file, the position and a correction
     */
    public static EntrySettings read(Path file) throws YuccagwException {
        byte[] document;
        try {
            document = Files.readAllBytes(file);
        } catch (IOException e) {
            throw ErrorKind.SETTINGS_INVALID.raiseFrom(e, file + ": the file can't be read; check its name and rights");
        }
        try {
            return parse(document);
        } catch (YuccagwException e) {
            throw ErrorKind.SETTINGS_INVALID.raiseFrom(e, file + ": " + e.getMessage());
        }
    }

    /**
     * Reads settings from the bytes of a file.
     *
     * @throws YuccagwException of kind SETTINGS_INVALID, which names the position and a correction, but no file
     */
    public static EntrySettings parse(byte[] document) throws YuccagwException {
        StrictObject root = StrictObject.parse(document, ErrorKind.SETTINGS_INVALID, FIELDS);
        return new EntrySettings(
                EntryId.of(root.name("entry")),
                FailureDomain.of(root.name("domain")),
                readAddress(root, "caller"),
                readAddress(root, "admin"),
                readAddress(root, "peer"),
                root.has("relay") ? Optional.of(readAddress(root, "relay")) : Optional.empty(),
                readAddress(root, "key_value_service"),
                readAddress(root, "vm_list"),
                readTokenKeys(root),
                root.has("body_limit_bytes")
                        ? root.wholeNumber("body_limit_bytes", 1, MAX_BODY_LIMIT_BYTES)
                        : DEFAULT_BODY_LIMIT_BYTES,
                root.has("body_timeout_ms") ? root.duration("body_timeout_ms").toMillis() : DEFAULT_BODY_TIMEOUT_MILLIS,
                readTraces(root),
                readLogStyle(root),
                root.has("bootstrap_operator_key_hash")
                        ? Optional.of(root.keyHash("bootstrap_operator_key_hash"))
                        : Optional.empty(),
                readTls(root, "caller_tls", false),
                readTls(root, "admin_tls", false),
                readTls(root, "peer_tls", true));
    }

    private static NetworkAddress readAddress(StrictObject root, String field) throws YuccagwException {
        String text = root.text(field);
        try {
            NetworkAddress address = NetworkAddress.parse(text);
            if (InetAddresses.isInetAddress(address.host())) {
                return address;
            }
        } catch (IllegalArgumentException e) {
            throw root.error(field, "expected IP number and port such as \"10.0.0.7:8080\": " + e.getMessage());
        }
        throw root.error(
                field, "expected IP number and port such as \"10.0.0.7:8080\", found the host name \"" + text + "\"");
    }

    private static List<String> readTokenKeys(StrictObject root) throws YuccagwException {
        List<String> keys = root.texts("token_keys");
        if (keys.isEmpty()) {
            throw root.error("token_keys", "expected at least one key; the first one signs, all verify");
        }
        for (String key : keys) {
            if (!TOKEN_KEY.matcher(key).matches()) {
                throw root.error(
                        "token_keys", "expected keys of at least 32 lower-case hexadecimal digits, an even number");
            }
        }
        return keys;
    }

    private static String readTraces(StrictObject root) throws YuccagwException {
        String traces = root.optionalText("traces").orElse("off");
        if (traces.equals("log") || traces.equals("off")) {
            return traces;
        }
        try {
            URI uri = URI.create(traces);
            if (uri.getHost() != null && ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()))) {
                return traces;
            }
        } catch (IllegalArgumentException ignored) {
            // Not a URL; reported below like any other invalid value.
        }
        throw root.error(
                "traces",
                "expected \"log\", \"off\" or the URL of an OTLP receiver such as "
                        + "\"http://10.0.0.9:4318/v1/traces\", found \"" + traces + "\"");
    }

    private static LogStyle readLogStyle(StrictObject root) throws YuccagwException {
        String style = root.optionalText("log").orElse("readable");
        for (LogStyle candidate : LogStyle.values()) {
            if (candidate.name().toLowerCase(Locale.ROOT).equals(style)) {
                return candidate;
            }
        }
        throw root.error("log", "expected \"readable\" or \"json\", found \"" + style + "\"");
    }

    private static Optional<TlsFiles> readTls(StrictObject root, String field, boolean mutual) throws YuccagwException {
        if (!root.has(field)) {
            return Optional.empty();
        }
        StrictObject tls = root.object(field, "certificate", "private_key", "trusted");
        if (mutual && !tls.has("trusted")) {
            throw tls.error(
                    "trusted",
                    "field 'trusted' is missing: both sides are checked here, "
                            + "add the file of the certificates that are trusted");
        }
        return Optional.of(new TlsFiles(
                tls.nonBlankText("certificate"), tls.nonBlankText("private_key"), tls.optionalText("trusted")));
    }
}
