package org.magnoliabridge.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats IP addresses with ports; rejects host names, so no name lookup takes place. */
public final class SocketAddresses {
    // A number over 255 makes the JDK take the address for a host name and look it up.
    private static final String UP_TO_255 = "(?:25[0-5]|2[0-4]\\d|[01]?\\d?\\d)";
    private static final Pattern ADDRESS_AND_PORT =
            Pattern.compile("(" + UP_TO_255 + "(?:\\." + UP_TO_255 + "){3}|\\[[0-9a-fA-F:]+])" + ":(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /** Returns the address, or empty if the text is not an IP address with a port from 0 to 65535. */
    public static Optional<InetSocketAddress> parse(String text) {
        Matcher matcher = ADDRESS_AND_PORT.matcher(text);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
            return Optional.empty();
        }
        try {
            InetAddress ip = InetAddress.getByName(matcher.group(1));
            return Optional.of(new InetSocketAddress(ip, Integer.parseInt(matcher.group(2))));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    /** Returns the text form that {@link #parse} reads. */
    public static String format(InetSocketAddress address) {
        String ip = address.getAddress().getHostAddress();
        return (ip.indexOf(':') >= 0 ? "[" + ip + "]" : ip) + ":" + address.getPort();
    }
}
