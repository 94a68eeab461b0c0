package barrowshore;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Dependency rules: packages that decide do no I/O, and there are no cycles. */
class PackageRulesTest {
    private static final JavaClasses MAIN_CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("barrowshore");

    @ParameterizedTest
    @ValueSource(
            strings = {
                "barrowshore.module",
                "barrowshore.halls",
                "barrowshore.model",
                "barrowshore.status",
                "barrowshore.budget",
                "barrowshore.exchange",
                "barrowshore.baseline"
            })
    void decidingPackagesUseNoSocketsFilesClocksOrThreads(String decidingPackage) {
        noClasses()
                .that()
                .resideInAPackage(decidingPackage)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..",
                        "java.nio.file..",
                        "java.nio.channels..",
                        "java.util.concurrent..",
                        "java.time..",
                        "org.eclipse.jetty..",
                        "javax..",
                        "sun..")
                .check(MAIN_CLASSES);
        noClasses()
                .that()
                .resideInAPackage(decidingPackage)
                .should()
                .dependOnClassesThat()
                .haveNameMatching(
                        "java\\.lang\\.(Thread|ThreadLocal|Process|ProcessBuilder|Runtime)|java\\.util\\.(Timer|Random)"
                                + "|java\\.io\\.(File.*|InputStream|OutputStream|RandomAccessFile)")
                .check(MAIN_CLASSES);
        noClasses()
                .that()
                .resideInAPackage(decidingPackage)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .check(MAIN_CLASSES);
    }

    /** The list may hold addresses as values, but must not open, read or wait for anything. */
    @Test
    void theListPackageUsesNoSocketsFilesOrThreads() {
        noClasses()
                .that()
                .resideInAPackage("barrowshore.list")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.nio..",
                        "java.io..",
                        "java.util.concurrent..",
                        "java.time..",
                        "org.eclipse.jetty..",
                        "javax..",
                        "barrowshore.net..",
                        "barrowshore.config..",
                        "barrowshore.files..")
                .check(MAIN_CLASSES);
        noClasses()
                .that()
                .resideInAPackage("barrowshore.list")
                .should()
                .dependOnClassesThat()
                .haveNameMatching(
                        "java\\.net\\.(.*Socket|URL|HttpURLConnection)|java\\.lang\\.(Thread|Process.*|Runtime)")
                .check(MAIN_CLASSES);
    }

    @Test
    void hallsDependOnNoOtherPackage() {
        noClasses()
                .that()
                .resideInAPackage("barrowshore.halls")
                .should()
                .dependOnClassesThat(resideInAPackage("barrowshore..").and(resideOutsideOfPackage("barrowshore.halls")))
                .check(MAIN_CLASSES);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("barrowshore.(*)..").should().beFreeOfCycles().check(MAIN_CLASSES);
    }
}
