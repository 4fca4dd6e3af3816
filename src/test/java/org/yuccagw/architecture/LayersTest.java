package org.yuccagw.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.yuccagw.adapters.http.BoundedJson;

public class LayersTest {
    private static final String CORE = "org.yuccagw.core..";

    private JavaClasses classes;

    @BeforeClass
    public void importClasses() {
        classes = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("org.yuccagw");
    }

    @Test
    public void layersDependInOneDirectionOnly() {
        layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("org.yuccagw..")
                .withOptionalLayers(true)
                .layer("core")
                .definedBy(CORE)
                .layer("wire")
                .definedBy("org.yuccagw.wire..")
                .layer("adapters")
                .definedBy("org.yuccagw.adapters..")
                .layer("platform")
                .definedBy("org.yuccagw.platform..")
                .layer("client")
                .definedBy("org.yuccagw.client..")
                .layer("daemon")
                .definedBy("org.yuccagw.daemon..")
                .layer("standins")
                .definedBy("org.yuccagw.standins..")
                .layer("bench")
                .definedBy("org.yuccagw.bench..")
                .layer("cli")
                .definedBy("org.yuccagw.cli..")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("bench")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("daemon")
                .mayOnlyBeAccessedByLayers("bench", "cli")
                .whereLayer("standins")
                .mayOnlyBeAccessedByLayers("bench", "cli")
                .whereLayer("platform")
                .mayOnlyBeAccessedByLayers("daemon", "bench", "cli")
                .whereLayer("client")
                .mayOnlyBeAccessedByLayers("bench", "cli")
                .whereLayer("adapters")
                .mayOnlyBeAccessedByLayers("platform", "client", "daemon", "standins", "bench", "cli")
                .whereLayer("wire")
                .mayOnlyBeAccessedByLayers("adapters", "daemon")
                .check(classes);
    }

    @Test
    public void theCoreDoesNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAPackage(CORE)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "io.netty..",
                        "io.undertow..",
                        "org.xnio..",
                        "com.lmax..",
                        "io.prometheus..",
                        "io.opentelemetry..",
                        "org.apache.logging..")
                .check(classes);
    }

    @Test
    public void theCoreUsesNoThreads() {
        noClasses()
                .that()
                .resideInAPackage(CORE)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.util.concurrent..")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .check(classes);
    }

    @Test
    public void theCoreReadsNoSystemClock() {
        noClasses()
                .that()
                .resideInAPackage(CORE)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.time.Clock")
                .check(classes);
    }

    @Test
    public void theCoreCreatesNoRandomNumberGenerator() {
        noClasses()
                .that()
                .resideInAPackage(CORE)
                .should()
                .dependOnClassesThat()
                .haveNameMatching("java\\.(util\\.(Random|SplittableRandom|UUID)|security\\.SecureRandom)")
                .orShould()
                .callMethod(Math.class, "random")
                .check(classes);
    }

    // Guards against a parser without a limit of nesting, whose documents can overflow the stack of their reader.
    @Test
    public void whatReadsOtherProcessesDocumentsUsesBoundedParsers() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "org.yuccagw.adapters..",
                        "org.yuccagw.platform..",
                        "org.yuccagw.client..",
                        "org.yuccagw.daemon..",
                        "org.yuccagw.cli..")
                .and()
                .doNotHaveSimpleName(BoundedJson.class.getSimpleName())
                .should()
                .callConstructor(ObjectMapper.class)
                .orShould()
                .callConstructor(JsonFactory.class)
                .orShould()
                .callMethod(JsonFactory.class, "builder")
                .check(classes);
    }
}
