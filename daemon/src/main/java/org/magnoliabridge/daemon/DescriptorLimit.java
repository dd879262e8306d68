package org.magnoliabridge.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads how many descriptors a process may have open. */
final class DescriptorLimit {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Path LIMITS = Path.of("/proc/self/limits");
    // The first number is the limit in force, the second one what it may be raised to.
    private static final Pattern OPEN_FILES = Pattern.compile("^Max open files\\s+(\\d{1,9})\\s", Pattern.MULTILINE);
    static final int DEFAULT = 4_096;

    private DescriptorLimit() {}

    /** Returns the limit of this process, or 4,096 if the system does not tell it. */
    static int ofThisProcess() {
        try {
            return parse(Files.readString(LIMITS));
        } catch (IOException e) {
            LOG.atInfo().withCause(e).log("no limit of descriptors is known; using %d", DEFAULT);
            return DEFAULT;
        }
    }

    /** Returns the limit from the text of a process's limits, or 4,096 if there is none. */
    static int parse(String limits) {
        Matcher openFiles = OPEN_FILES.matcher(limits);
        return openFiles.find() ? Integer.parseInt(openFiles.group(1)) : DEFAULT;
    }
}
