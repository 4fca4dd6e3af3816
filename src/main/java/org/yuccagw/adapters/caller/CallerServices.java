package org.yuccagw.adapters.caller;

import io.opentelemetry.api.trace.Tracer;
import java.util.function.Supplier;
import org.yuccagw.adapters.http.HttpClient;
import org.yuccagw.adapters.relay.EndpointClient;
import org.yuccagw.adapters.settings.EntrySettings;
import org.yuccagw.core.control.ControlInput;
import org.yuccagw.core.control.ControlSnapshot;
import org.yuccagw.core.control.EntryIdentity;

/**
 * The services that all requests on the caller address share.
 *
 * @param self identity of this entry
 * @param snapshot the latest published control state
 * @param control input of the control core
 * @param endpointClient client for endpoints
 * @param entryClient client for the caller addresses of other entries, which may use TLS
 */
public record CallerServices(
        EntrySettings settings,
        EntryIdentity self,
        Supplier<ControlSnapshot> snapshot,
        ControlInput control,
        EndpointClient endpointClient,
        HttpClient entryClient,
        BlockImporter importer,
        RetryDecider retries,
        Tracer tracer,
        CallerMetrics metrics,
        RunRegistry runs) {}
