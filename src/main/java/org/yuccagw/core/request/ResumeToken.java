package org.yuccagw.core.request;

import com.google.common.base.Splitter;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.NetworkAddress;
import org.yuccagw.core.id.RequestId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;
import org.yuccagw.core.id.WorkspaceId;

/**
 * Token with which an entry can resume an answer that another entry started, without shared state between entries. It
 * is signed so that callers can't forge it.
 *
 * <p>The text form is {@code payload.signature}, both in URL-safe Base64. The payload consists of the fields joined by
 * newlines; the signature is the HMAC-SHA-256 of the payload under the first key of the settings. A token is accepted
 * if any of the keys verifies it, so keys are rotated by inserting a new key in first position and removing the old one
 * later.
 *
 * <p>A token contains its workspace and is valid only together with a key of that workspace.
 *
 * @param incarnation of the VM of the endpoint
 * @param stream identifier of the stream on the engine
 * @param version weight version that the run uses
 * @param chat whether the answer has the format of a chat completion
 * @param software version of the engine's software; empty in tokens of an earlier release
 */
public record ResumeToken(
        RequestId request,
        WorkspaceId workspace,
        ServiceName service,
        EndpointId endpoint,
        NetworkAddress address,
        long incarnation,
        String stream,
        String version,
        boolean chat,
        Optional<SoftwareVersion> software) {
    private static final int FIELDS_WITHOUT_SOFTWARE = 9;
    private static final int FIELDS = FIELDS_WITHOUT_SOFTWARE + 1;
    private static final BaseEncoding ENCODING = BaseEncoding.base64Url().omitPadding();

    /** Returns the text form, signed with {@code key}. */
    public String sign(String key) {
        String payload = String.join(
                "\n",
                request.value(),
                workspace.value(),
                service.value(),
                endpoint.value(),
                address.toString(),
                Long.toString(incarnation),
                stream,
                version,
                Boolean.toString(chat),
                software.map(SoftwareVersion::value).orElse(""));
        byte[] bytes = payload.getBytes(StandardCharsets.UTF_8);
        return ENCODING.encode(bytes) + "." + ENCODING.encode(signature(key, bytes));
    }

    /**
     * Decodes a token that was signed with one of {@code keys}.
     *
     * @throws YuccagwException of kind WRONG_RESUME_TOKEN if the token is malformed or its signature is invalid
     */
    public static ResumeToken verify(String text, List<String> keys) throws YuccagwException {
        List<String> parts = Splitter.on('.').splitToList(text);
        if (parts.size() != 2) {
            throw ErrorKind.WRONG_RESUME_TOKEN.raise("has no signature");
        }
        byte[] payload = decode(parts.get(0));
        byte[] signature = decode(parts.get(1));
        boolean valid = keys.stream().anyMatch(key -> MessageDigest.isEqual(signature(key, payload), signature));
        if (!valid) {
            throw ErrorKind.WRONG_RESUME_TOKEN.raise("isn't signed by this deployment");
        }
        return parse(new String(payload, StandardCharsets.UTF_8));
    }

    private static ResumeToken parse(String payload) throws YuccagwException {
        List<String> fields = Splitter.on('\n').splitToList(payload);
        if (fields.size() != FIELDS && fields.size() != FIELDS_WITHOUT_SOFTWARE) {
            throw ErrorKind.WRONG_RESUME_TOKEN.raise("is of another release");
        }
        try {
            return new ResumeToken(
                    RequestId.of(fields.get(0)),
                    WorkspaceId.of(fields.get(1)),
                    ServiceName.of(fields.get(2)),
                    EndpointId.of(fields.get(3)),
                    NetworkAddress.parse(fields.get(4)),
                    Long.parseLong(fields.get(5)),
                    fields.get(6),
                    fields.get(7),
                    Boolean.parseBoolean(fields.get(8)),
                    parseSoftware(fields));
        } catch (IllegalArgumentException e) {
            throw ErrorKind.WRONG_RESUME_TOKEN.raiseFrom(e, "is of another release");
        }
    }

    private static Optional<SoftwareVersion> parseSoftware(List<String> fields) {
        boolean isKnown =
                fields.size() == FIELDS && !fields.get(FIELDS_WITHOUT_SOFTWARE).isEmpty();
        return isKnown ? Optional.of(SoftwareVersion.of(fields.get(FIELDS_WITHOUT_SOFTWARE))) : Optional.empty();
    }

    private static byte[] decode(String text) throws YuccagwException {
        try {
            return ENCODING.decode(text);
        } catch (IllegalArgumentException e) {
            throw ErrorKind.WRONG_RESUME_TOKEN.raiseFrom(e, "isn't URL-safe Base64");
        }
    }

    private static byte[] signature(String key, byte[] payload) {
        return Hashing.hmacSha256(key.getBytes(StandardCharsets.UTF_8))
                .hashBytes(payload)
                .asBytes();
    }
}
