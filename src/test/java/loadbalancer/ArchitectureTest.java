package loadbalancer;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Checks the rules between packages: decision code has no side effects, and lower packages do not
 * depend on higher ones.
 */
@AnalyzeClasses(packages = "loadbalancer", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

  private static final Path SOURCE_ROOT = Path.of("src/main/java");

  /**
   * Every package directly below the root. A new one has to be listed here, so that the rules are
   * extended to it.
   */
  private static final Set<String> TOP_PACKAGES =
      Set.of(
          "config",
          "decision",
          "discovery",
          "downstream",
          "gossip",
          "http",
          "json",
          "net",
          "proxy",
          "simulator",
          "telemetry",
          "upstream");

  /**
   * Decision code uses no I/O, clocks, threads, logging or libraries. It may use only these
   * packages, except the classes that the next rule excludes.
   */
  @ArchTest
  final ArchRule decisionsDependOnlyOnThemselves =
      classes()
          .that()
          .resideInAPackage("loadbalancer.decision..")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage(
              "loadbalancer.decision..",
              "java.lang",
              "java.util",
              "java.util.function",
              "java.util.stream");

  /**
   * Decision code must not use the classes of java.lang and java.util that give access to clocks,
   * the environment, processes, threads and input.
   */
  @ArchTest
  final ArchRule decisionsUseNoClocksEnvironmentOrThreads =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.decision..")
          .should()
          .dependOnClassesThat()
          .haveNameMatching(
              "java\\.lang\\.(System|Runtime|Process|ProcessBuilder|ProcessHandle|Thread"
                  + "|ThreadGroup|ThreadLocal|InheritableThreadLocal|ClassLoader|Module"
                  + "|ModuleLayer|StackWalker)(\\$.*)?"
                  + "|java\\.util\\.(Calendar|Currency|Date|GregorianCalendar|Locale|Properties"
                  + "|ResourceBundle|Scanner|ServiceLoader|Timer|TimerTask|TimeZone|UUID)(\\$.*)?");

  /** The only source of randomness in decision code is the seed that it is given. */
  @ArchTest
  final ArchRule decisionsUseNoRandomnessButTheirSeed =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.decision..")
          .should()
          .callMethod(Math.class, "random")
          .orShould()
          .callMethod(StrictMath.class, "random")
          .orShould()
          .callConstructor(java.util.Random.class)
          .orShould()
          .callConstructor(SplittableRandom.class);

  @ArchTest
  final ArchRule decisionApiDependsOnlyOnItself =
      classes()
          .that()
          .resideInAPackage("loadbalancer.decision.api..")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage("loadbalancer.decision.api..", "java..");

  @ArchTest
  final ArchRule topPackagesAreFreeOfCycles =
      slices().matching("loadbalancer.(*)..").should().beFreeOfCycles();

  /** The packages that each package may use besides itself and {@link #COMMON_DEPENDENCIES}. */
  private static final Map<String, Set<String>> ALLOWED_DEPENDENCIES =
      Map.of(
          "config", Set.of("discovery"),
          "decision", Set.of(),
          "discovery", Set.of(),
          "downstream", Set.of("telemetry", "upstream"),
          "gossip", Set.of(),
          "simulator", Set.of("config", "decision"),
          "telemetry", Set.of(),
          "upstream", Set.of());

  private static final Set<String> COMMON_DEPENDENCIES =
      Set.of("decision.api", "http", "json", "net");

  @ArchTest
  void packagesUseOnlyAllowedPackages(JavaClasses classes) {
    ALLOWED_DEPENDENCIES.forEach(
        (packageName, allowed) -> {
          DescribedPredicate<JavaClass> residesInAllowedPackage =
              resideInAnyPackage(
                  Stream.of(Stream.of(packageName), allowed.stream(), COMMON_DEPENDENCIES.stream())
                      .flatMap(packages -> packages)
                      .map(used -> "loadbalancer." + used + "..")
                      .toArray(String[]::new));
          noClasses()
              .that()
              .resideInAPackage("loadbalancer." + packageName + "..")
              .should()
              .dependOnClassesThat(
                  resideInAPackage("loadbalancer..").and(not(residesInAllowedPackage)))
              .check(classes);
        });
  }

  /** Only the entry point uses internals of the JDK, to handle signals. */
  @ArchTest
  final ArchRule onlyTheEntryPointUsesInternalsOfTheJdk =
      noClasses()
          .that()
          .doNotHaveFullyQualifiedName("loadbalancer.proxy.ServeCommand")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("sun..", "com.sun..", "jdk..");

  @ArchTest
  final ArchRule noPackageDependsOnTheRoot =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.*..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("loadbalancer");

  @ArchTest
  final ArchRule onlyTheRootDependsOnTheSimulator =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.*..")
          .and()
          .resideOutsideOfPackage("loadbalancer.simulator..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("loadbalancer.simulator..");

  @ArchTest
  final ArchRule mainCodeDependsOnNoTestOrBuildTools =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.junit..",
              "org.assertj..",
              "org.opentest4j..",
              "com.tngtech..",
              "com.google.errorprone..",
              "com.puppycrawl..",
              "com.diffplug..");

  @ArchTest
  void topPackagesAreThoseListed(JavaClasses classes) {
    Set<String> found =
        classes.stream()
            .map(JavaClass::getPackageName)
            .filter(name -> name.startsWith("loadbalancer."))
            .map(name -> name.split("\\.", 0)[1])
            .collect(Collectors.toCollection(TreeSet::new));
    assertEquals(new TreeSet<>(TOP_PACKAGES), found);
  }

  @ArchTest
  void everyPackageHasAPackageInfo(JavaClasses classes) {
    for (String packageName :
        classes.stream().map(JavaClass::getPackageName).collect(Collectors.toSet())) {
      Path file = SOURCE_ROOT.resolve(packageName.replace('.', '/')).resolve("package-info.java");
      assertTrue(Files.isRegularFile(file), "missing: " + file);
    }
  }
}
