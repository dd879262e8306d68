package org.magnoliabridge.sim;

import java.nio.file.Path;

/** The folder in which tests leave their tables. */
public final class BuildFolder {
    private BuildFolder() {}

    /** Returns the path of a file in the module's build folder, or in the working folder outside of Maven. */
    public static Path file(String name) {
        return Path.of(System.getProperty("build.directory", "."), name);
    }
}
