package org.yuccagw.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.Collection;
import org.yuccagw.adapters.http.JsonText;
import org.yuccagw.core.fleet.StoredOrigin;
import org.yuccagw.core.follow.KeyValueRecord.OriginsStored;
import org.yuccagw.core.follow.KeyValueRecord.Subject.OriginsSubject;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.ServiceName;
import org.yuccagw.core.id.SoftwareVersion;

/**
 * Converts what began streams from and to the keys and values of the key-value service. A key ends with the name of the
 * entry, a slash and a number. A value has a field {@code streams} with one object for each service and version, in
 * which {@code requests} holds the hashes of the requests in Base64, eight bytes each.
 */
final class StoredOriginsJson {
    private static final String STREAMS = "streams";
    private static final String SERVICE = "service";
    private static final String SOFTWARE = "version";
    private static final String REQUESTS = "requests";

    private StoredOriginsJson() {}

    private record Software(ServiceName service, SoftwareVersion version) {
        static Software of(StoredOrigin origin) {
            return new Software(origin.service(), origin.software());
        }
    }

    static String name(OriginsStored stored) {
        return stored.writer() + "/" + stored.slot();
    }

    /**
     * Reads the end of a key.
     *
     * @throws IllegalArgumentException if it isn't a name and a number
     */
    static OriginsSubject readName(String name) {
        int slash = name.lastIndexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("expected ENTRY/NUMBER, found '" + name + "'");
        }
        return new OriginsSubject(EntryId.of(name.substring(0, slash)), Integer.parseInt(name.substring(slash + 1)));
    }

    /**
     * Reads a value.
     *
     * @throws IllegalArgumentException if a field is missing or malformed
     * @throws IOException if the hashes aren't in Base64
     */
    static OriginsStored read(String name, JsonNode value) throws IOException {
        OriginsSubject subject = readName(name);
        ImmutableList.Builder<StoredOrigin> origins = ImmutableList.builder();
        for (JsonNode each : value.required(STREAMS)) {
            ServiceName service = ServiceName.of(each.required(SERVICE).asText());
            SoftwareVersion software =
                    SoftwareVersion.of(each.required(SOFTWARE).asText());
            byte[] bytes = each.required(REQUESTS).binaryValue();
            if (bytes == null || bytes.length % Long.BYTES != 0) {
                throw new IllegalArgumentException(REQUESTS + " holds no hashes");
            }
            ByteBuffer hashes = ByteBuffer.wrap(bytes);
            while (hashes.hasRemaining()) {
                origins.add(new StoredOrigin(hashes.getLong(), service, software));
            }
        }
        return new OriginsStored(subject.writer(), subject.slot(), origins.build());
    }

    static ObjectNode write(OriginsStored stored) {
        ObjectNode value = JsonText.object();
        ImmutableListMultimap<Software, StoredOrigin> bySoftware = Multimaps.index(stored.origins(), Software::of);
        bySoftware
                .asMap()
                .forEach((software, origins) -> value.withArray(STREAMS)
                        .addObject()
                        .put(SERVICE, software.service().value())
                        .put(SOFTWARE, software.version().value())
                        .put(REQUESTS, encode(origins)));
        return value;
    }

    private static String encode(Collection<StoredOrigin> origins) {
        ByteBuffer hashes = ByteBuffer.allocate(origins.size() * Long.BYTES);
        origins.forEach(origin -> hashes.putLong(origin.requestHash()));
        return Base64.getEncoder().encodeToString(hashes.array());
    }
}
