package org.yuccagw.core.id;

/**
 * The IP address and port on which a process listens. Host names are not used, since the platform's VMs are reached by
 * IP address.
 *
 * @param host an IPv4 or IPv6 address, without brackets
 * @param port 1 to 65535
 */
public record NetworkAddress(String host, int port) implements Comparable<NetworkAddress> {
    private static final int MAX_PORT = 65_535;

    public NetworkAddress {
        Names.requireNonBlank("NetworkAddress", host);
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("a port is between 1 and 65535: " + port);
        }
    }

    public static NetworkAddress of(String host, int port) {
        return new NetworkAddress(host, port);
    }

    /**
     * Parses an address such as {@code 10.0.0.7:8080} or {@code [fd00::7]:8080}.
     *
     * @throws IllegalArgumentException if the text has no valid port after the last colon
     */
    public static NetworkAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("expected HOST:PORT, found '" + text + "'");
        }
        String host = text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        }
        try {
            return new NetworkAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("expected a port number after the last ':' in '" + text + "'", e);
        }
    }

    @Override
    public int compareTo(NetworkAddress other) {
        int byHost = host.compareTo(other.host);
        return byHost != 0 ? byHost : Integer.compare(port, other.port);
    }

    @Override
    public String toString() {
        return host.indexOf(':') >= 0 ? "[" + host + "]:" + port : host + ":" + port;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof NetworkAddress that && host.equals(that.host) && port == that.port;
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }
}
