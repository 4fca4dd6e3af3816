package org.yuccagw.adapters.settings;

import java.util.List;
import java.util.Optional;
import org.yuccagw.core.id.EntryId;
import org.yuccagw.core.id.FailureDomain;
import org.yuccagw.core.id.NetworkAddress;

/**
 * The settings of one entry daemon, as read from its settings file.
 *
 * @param entry the name of the entry
 * @param domain the failure domain of the entry
 * @param caller the address on which the entry listens for callers
 * @param admin the address on which the entry listens for operators and for the collection of metrics
 * @param peer the address on which the entry listens for other entries
 * @param keyValueService the address of the platform's key-value service
 * @param vmList the address of the platform's list of VMs
 * @param tokenKeys keys of resume tokens in hexadecimal; the first one signs new tokens, all of them verify tokens
 * @param bodyLimitBytes maximum size of a request body
 * @param bodyTimeoutMillis maximum time for a request body to arrive
 * @param traces the destination of spans: {@code log}, {@code off}, or the URL of an OTLP receiver
 * @param log the format of log lines
 * @param bootstrapOperatorKeyHash SHA-256 hash of the key that may apply the first catalogue, while there is none
 * @param relay the address on which the entry relays requests of other entries, absent if it relays none
 * @param callerTls the PEM files of the caller address, absent for plain text
 * @param adminTls the PEM files of the admin address, absent for plain text
 * @param peerTls the PEM files of the peer and relay addresses, absent for plain text; both sides verify certificates
 */
public record EntrySettings(
        EntryId entry,
        FailureDomain domain,
        NetworkAddress caller,
        NetworkAddress admin,
        NetworkAddress peer,
        Optional<NetworkAddress> relay,
        NetworkAddress keyValueService,
        NetworkAddress vmList,
        List<String> tokenKeys,
        long bodyLimitBytes,
        long bodyTimeoutMillis,
        String traces,
        LogStyle log,
        Optional<String> bootstrapOperatorKeyHash,
        Optional<TlsFiles> callerTls,
        Optional<TlsFiles> adminTls,
        Optional<TlsFiles> peerTls) {
    public EntrySettings {
        tokenKeys = List.copyOf(tokenKeys);
    }

    /** The format of log lines on standard output. */
    public enum LogStyle {
        READABLE,
        JSON
    }

    /**
     * The PEM files of one address, which are reloaded when they change.
     *
     * @param certificate path of the certificate chain of the process
     * @param privateKey path of the private key in PKCS 8
     * @param trusted path of the certificates that authenticate peers, for mutual TLS
     */
    public record TlsFiles(String certificate, String privateKey, Optional<String> trusted) {}
}
