package org.tallycart.integration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.tallycart.core.ini.Address;
import org.tallycart.ctl.TallyctlMain;
import org.tallycart.runtime.process.ExitCode;
import org.tallycart.testbed.Await;
import org.tallycart.testbed.FleetDefinition;
import org.tallycart.testbed.ProcessHttp;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that an accepted configuration becomes active on every VM within seconds and is
 * never reverted.
 */
public class ConfigurationTests extends AbstractFleetTests {

	private static final long PROPAGATION_TIMEOUT_MS = 11_000;

	@Override
	FleetDefinition definition() {
		return FleetDefinition.bogota(3).withPlatformProxies();
	}

	private Path checkout(String extra) throws IOException {
		Path directory = Files.createTempDirectory(fleet().directory(), "operator-");
		Files.writeString(directory.resolve("all.ini"), fleet().declarations() + extra);
		Files.copy(fleet().directory().resolve("declarations/.tallycart-base"), directory.resolve(".tallycart-base"));
		return directory;
	}

	private int apply(Path directory, String author) {
		return TallyctlMain.execute("apply", "--platform", fleet().platformAddress().toString(), "--author", author,
				directory.toString());
	}

	private long headVersion() {
		return status(0, "steward").path("config_version").asLong();
	}

	private JsonNode status(int vm, String program) {
		Address address = program.equals("entry") ? fleet().vm(vm).entry().address("status")
				: fleet().vm(vm).steward().address("status");
		return ProcessHttp.get(address, "/status");
	}

	private long awaitActive(long version) {
		long startMs = System.currentTimeMillis();
		Await.until("version " + version + " is active in every entry", PROPAGATION_TIMEOUT_MS, () -> {
			boolean all = true;
			for (int i = 0; i < fleet().size(); i++) {
				all &= status(i, "entry").path("config_version").asLong() >= version;
			}
			return all;
		});
		return System.currentTimeMillis() - startMs;
	}

	private void awaitStewardVersion(long version) {
		Await.until("every steward is at version " + version, PROPAGATION_TIMEOUT_MS, () -> {
			boolean all = true;
			for (int i = 0; i < fleet().size(); i++) {
				all &= status(i, "steward").path("config_version").asLong() >= version;
			}
			return all;
		});
	}

	@Test
	void concurrentChangesOfDifferentDeclarationsAreAllAccepted() throws IOException {
		long before = headVersion();
		List<CompletableFuture<Integer>> operators = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			Path directory = checkout("\n[workspace race-" + i + "]\nweight = 2\n");
			String author = "operator-" + i;
			operators.add(CompletableFuture.supplyAsync(() -> apply(directory, author)));
		}
		operators.forEach((operator) -> assertEquals(operator.join().intValue(), ExitCode.OK));
		long millis = awaitActive(before + 4);
		System.out.println("four concurrent changes active on every VM after " + millis + " ms");
	}

	@Test
	void concurrentChangesOfOneDeclarationConflict() throws IOException {
		Path first = checkout("\n[workspace disputed]\nweight = 2\n");
		Path second = checkout("\n[workspace disputed]\nweight = 3\n");
		assertEquals(apply(first, "ana"), ExitCode.OK);
		assertEquals(apply(second, "beto"), ExitCode.CONFLICT);
	}

	@Test
	void staleCheckoutDoesNotRevertChangesOfOthers() throws IOException {
		Path old = checkout("");
		assertEquals(apply(checkout("\n[workspace newer]\n"), "ana"), ExitCode.OK);
		long version = headVersionAfterApply();
		assertEquals(apply(old, "beto"), ExitCode.OK);
		assertEquals(headVersionAfterApply(), version, "a stale checkout without changes must not create a version");
	}

	private long headVersionAfterApply() {
		Await.sleep(1_500);
		return headVersion();
	}

	@Test
	void changeIsAcceptedAfterLostReplies() throws IOException {
		long before = headVersionAfterApply();
		fleet().setPlatformFault("{\"lose_answers\":4}");
		assertEquals(apply(checkout("\n[workspace lost-answer]\n"), "ana"), ExitCode.OK);
		fleet().setPlatformFault("{\"lose_answers\":0}");
		awaitActive(before + 1);
	}

	@DataProvider
	Object[][] invalidDeclarations() {
		return new Object[][] { { "\n[workspace w]\nweight = heavy\n" }, { "\n[policy p]\nadmit = request.nothing\n" },
				{ "\n[pipeline p]\nstages = nowhere\n" } };
	}

	@Test(dataProvider = "invalidDeclarations")
	void invalidDeclarationsAreRejectedWithoutEffect(String extra) throws IOException {
		long before = headVersionAfterApply();
		assertEquals(apply(checkout(extra), "ana"), ExitCode.REFUSED);
		assertEquals(headVersionAfterApply(), before);
	}

	@Test(priority = 1)
	void outageOfThePlatformRejectsChangesAndRevertsNothing() throws IOException {
		long before = headVersionAfterApply();
		fleet().setPlatformFault("{\"outage\":true}");
		assertEquals(apply(checkout("\n[workspace outage]\n"), "ana"), ExitCode.FAILED);
		fleet().vm(2).steward().kill();
		fleet().vm(2).entry().kill();
		fleet().restartSteward(2);
		fleet().restartEntry(2);
		awaitStewardVersion(before);
		assertEquals(status(2, "entry").path("config_version").asLong(), before,
				"a VM started during an outage must read the configuration from its peers");
		fleet().setPlatformFault("{\"outage\":false}");
	}

	@Test(priority = 1)
	void suspendedStewardCatchesUpAfterResuming() throws IOException {
		long before = headVersionAfterApply();
		fleet().vm(1).steward().suspend();
		assertEquals(apply(checkout("\n[workspace frozen]\n"), "ana"), ExitCode.OK);
		Await.sleep(2_000);
		fleet().vm(1).steward().resume();
		long millis = awaitActive(before + 1);
		System.out.println("active at the resumed VM after " + millis + " ms");
	}

	@Test(priority = 2)
	void staleReadsFromThePlatformRevertNothing() {
		long before = headVersionAfterApply();
		fleet().setPlatformFault("{\"old_reads\":true}");
		for (int i = 0; i < 5; i++) {
			Await.sleep(300);
			assertTrue(headVersion() >= before);
		}
		fleet().setPlatformFault("{\"old_reads\":false}");
	}

	@Test(priority = 3)
	void vmWithoutPlatformAccessLearnsFromItsPeers() throws IOException {
		long before = headVersionAfterApply();
		fleet().proxy("platform-vm-3").setRefusing(true);
		fleet().proxy("platform-vm-3").closeConnections();
		assertEquals(apply(checkout("\n[workspace cut-off]\n"), "ana"), ExitCode.OK);
		long millis = awaitActive(before + 1);
		System.out.println("active at the VM without platform access after " + millis + " ms");
		fleet().proxy("platform-vm-3").setRefusing(false);
	}

}
