package org.magnoliabridge;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Guards against I/O, threads and clocks in the deterministic {@code Core} classes, which would break replay. */
class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.magnoliabridge");

    @Test
    void coresDoNoInputOrOutput() {
        noClasses()
                .that()
                .haveSimpleNameEndingWith("Core")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..", "java.nio.channels..", "io.undertow..", "org.xnio..", "java.util.concurrent..")
                .allowEmptyShould(true)
                .check(CLASSES);
    }

    @Test
    void coresReadNoClockAndStartNoThread() {
        noClasses()
                .that()
                .haveSimpleNameEndingWith("Core")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .allowEmptyShould(true)
                .check(CLASSES);
    }
}
