package io.wagtailmux.decision;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

class ArchitectureTests {

	private final JavaClasses classes = new ClassFileImporter()
		.withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
		.importPackages("io.wagtailmux");

	@Test
	void decisionsDoNoInputOrOutputStartNoThreadAndReadNoClock() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("io.wagtailmux.decision..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.io..", "java.net..", "java.nio.file..", "java.nio.channels..",
					"java.util.concurrent..", "okhttp3..", "io.jooby..", "org.slf4j..")
			.orShould()
			.dependOnClassesThat()
			.haveNameMatching("java\\.lang\\.(Thread|Process|Runtime)|java\\.time\\.(Clock|Instant)")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.callMethod(Math.class, "random")
			.check(this.classes);
	}

	@Test
	void modelAndDecisionDoNotDependOnOuterModules() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage("io.wagtailmux.model..", "io.wagtailmux.decision..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("io.wagtailmux.store..", "io.wagtailmux.peer..", "io.wagtailmux.daemon..",
					"io.wagtailmux.testbed..", "io.wagtailmux.cli..")
			.check(this.classes);
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("io.wagtailmux.model..")
			.should()
			.dependOnClassesThat()
			.resideInAPackage("io.wagtailmux.decision..")
			.check(this.classes);
	}

}
