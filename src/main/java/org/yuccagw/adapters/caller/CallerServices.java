package org.yuccagw.adapters.caller;

import io.opentelemetry.api.trace.Tracer;
import java.util.function.Supplier;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.settings.EntrySettings;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.EntryIdentity;

/**
 * What every request on the caller address uses.
 *
 * @param http for endpoints
 * @param otherEntries for the caller addresses of other entries, which may speak TLS
 */
public record CallerServices(
        EntrySettings settings,
        EntryIdentity self,
        Supplier<ControlSnapshot> snapshot,
        ControlInput control,
        HttpClient http,
        HttpClient otherEntries,
        BlockImporter importer,
        RetryDecider retries,
        Tracer tracer,
        CallerMetrics metrics,
        RunRegistry runs) {}
