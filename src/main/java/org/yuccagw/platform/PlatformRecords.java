package org.yuccagw.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.yuccagw.adapters.http.JsonText;
import org.yuccagw.adapters.http.UntrustedInput;
import org.yuccagw.core.control.EntryIdentity;
import org.yuccagw.core.error.ErrorKind;
import org.yuccagw.core.error.YuccagwException;
import org.yuccagw.core.fleet.EntryContact;
import org.yuccagw.core.fleet.ModelWeights;
import org.yuccagw.core.follow.KeyValueRecord;
import org.yuccagw.core.follow.KeyValueRecordCodec;
import org.yuccagw.core.id.EndpointId;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;

/**
 * Encodes and decodes the records in the platform's key-value service: those of operators, of endpoints and of the
 * entries themselves.
 */
public final class PlatformRecords implements KeyValueRecordCodec {
    /**
     * The empty prefix. One watch over all keys costs a third of three watches, and the keys that entries write change
     * rarely.
     */
    private static final String ALL_KEYS = "";

    private PlatformRecords() {}

    public static PlatformRecords create() {
        return new PlatformRecords();
    }

    @Override
    public String followedPrefix() {
        return ALL_KEYS;
    }

    @Override
    public Optional<KeyValueRecord> decode(String key, byte[] value) throws YuccagwException {
        try {
            return UntrustedInput.read(() -> readRecord(key, value));
        } catch (IOException e) {
            throw ErrorKind.STATE_UNREADABLE.raiseFrom(e, key, e.getMessage());
        }
    }

    private static Optional<KeyValueRecord> readRecord(String key, byte[] value) throws IOException {
        if (key.equals(PlatformNames.CONFIGURATION_KEY)) {
            return Optional.of(new KeyValueRecord.Configured(DeploymentReader.read(JsonText.read(value))));
        }
        if (key.startsWith(PlatformNames.WEIGHTS_KEYS)) {
            JsonNode weights = JsonText.read(value);
            return Optional.of(new KeyValueRecord.WeightsNamed(new ModelWeights(
                    weights.required("model").asText(),
                    weights.required("version").asLong())));
        }
        if (key.startsWith(PlatformNames.EVACUATION_KEYS)) {
            return Optional.of(new KeyValueRecord.DomainEvacuated(evacuatedDomain(key)));
        }
        if (key.startsWith(PlatformNames.ENDPOINT_KEYS)) {
            String id = key.substring(PlatformNames.ENDPOINT_KEYS.length());
            return Optional.of(
                    new KeyValueRecord.EndpointListed(EndpointReader.readRegistration(id, JsonText.read(value))));
        }
        if (key.startsWith(PlatformNames.ENTRY_KEYS)) {
            return Optional.of(new KeyValueRecord.EntryListed(readEntryContact(JsonText.read(value))));
        }
        if (key.startsWith(PlatformNames.DUTY_KEYS)) {
            JsonNode duty = JsonText.read(value);
            return Optional.of(new KeyValueRecord.DutyHeld(
                    key.substring(PlatformNames.DUTY_KEYS.length()),
                    EntryId.of(duty.required("holder").asText()),
                    duty.required("incarnation").asLong()));
        }
        if (key.startsWith(PlatformNames.ORIGIN_KEYS)) {
            return Optional.of(
                    StoredOriginsJson.read(key.substring(PlatformNames.ORIGIN_KEYS.length()), JsonText.read(value)));
        }
        return Optional.empty();
    }

    @Override
    public KeyValueRecord.Subject subject(String key) {
        try {
            return readSubject(key);
        } catch (IllegalArgumentException noName) {
            // Another writer's key, such as a prefix alone, names nothing.
            return new KeyValueRecord.Subject.OtherSubject(key);
        }
    }

    private static KeyValueRecord.Subject readSubject(String key) {
        if (key.startsWith(PlatformNames.ENDPOINT_KEYS)) {
            return new KeyValueRecord.Subject.EndpointSubject(
                    EndpointId.of(key.substring(PlatformNames.ENDPOINT_KEYS.length())));
        }
        if (key.startsWith(PlatformNames.ENTRY_KEYS)) {
            return new KeyValueRecord.Subject.EntrySubject(
                    EntryId.of(key.substring(PlatformNames.ENTRY_KEYS.length())));
        }
        if (key.startsWith(PlatformNames.DUTY_KEYS)) {
            return new KeyValueRecord.Subject.DutySubject(key.substring(PlatformNames.DUTY_KEYS.length()));
        }
        if (key.startsWith(PlatformNames.EVACUATION_KEYS)) {
            return new KeyValueRecord.Subject.EvacuationSubject(evacuatedDomain(key));
        }
        if (key.startsWith(PlatformNames.ORIGIN_KEYS)) {
            return StoredOriginsJson.readName(key.substring(PlatformNames.ORIGIN_KEYS.length()));
        }
        return new KeyValueRecord.Subject.OtherSubject(key);
    }

    private static FailureDomain evacuatedDomain(String key) {
        return FailureDomain.of(key.substring(PlatformNames.EVACUATION_KEYS.length()));
    }

    @Override
    public Entry encode(KeyValueRecord.EntryListed listed) {
        EntryContact contact = listed.contact();
        ObjectNode value = JsonText.object()
                .put("entry", contact.entry().value())
                .put("incarnation", contact.incarnation())
                .put("domain", contact.domain().value())
                .put("callers", contact.callers().toString())
                .put("peers", contact.peers().toString())
                .put("capacity", contact.capacity());
        contact.relays().ifPresent(relays -> value.put("relays", relays.toString()));
        return entry(PlatformNames.ENTRY_KEYS + contact.entry(), value);
    }

    @Override
    public Entry encode(KeyValueRecord.DutyHeld held) {
        ObjectNode value =
                JsonText.object().put("holder", held.holder().value()).put("incarnation", held.incarnation());
        return entry(PlatformNames.DUTY_KEYS + held.duty(), value);
    }

    @Override
    public Entry encode(KeyValueRecord.OriginsStored stored) {
        return entry(PlatformNames.ORIGIN_KEYS + StoredOriginsJson.name(stored), StoredOriginsJson.write(stored));
    }

    private static Entry entry(String key, ObjectNode value) {
        return new Entry(key, JsonText.write(value).getBytes(StandardCharsets.UTF_8));
    }

    private static EntryContact readEntryContact(JsonNode value) {
        return new EntryContact(
                EntryId.of(value.required("entry").asText()),
                value.required("incarnation").asLong(),
                FailureDomain.of(value.required("domain").asText()),
                NetworkAddress.parse(value.required("callers").asText()),
                NetworkAddress.parse(value.required("peers").asText()),
                Optional.ofNullable(value.get("relays")).map(relays -> NetworkAddress.parse(relays.asText())),
                value.path("capacity").asInt(EntryIdentity.DEFAULT_CAPACITY));
    }
}
