package org.magnoliabridge.sim;

import java.nio.file.Path;

/** The build directory, in which tests store their result tables. */
public final class BuildFolder {
    private BuildFolder() {}

    /** Returns the path of a file in the module's build directory, or in the working directory outside of Maven. */
    public static Path file(String name) {
        return Path.of(System.getProperty("build.directory", "."), name);
    }
}
