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
 * An accepted configuration is in force everywhere within seconds and never reverts.
 */
public class ConfigurationTests extends AbstractFleetTests {

	private static final long SECONDS_MS = 11_000;

	@Override
	FleetDefinition shape() {
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
		return this.status(0, "steward").path("config_version").asLong();
	}

	private JsonNode status(int vm, String program) {
		Address address = program.equals("entry") ? fleet().vm(vm).entry().address("status")
				: fleet().vm(vm).steward().address("status");
		return ProcessHttp.get(address, "/status");
	}

	private long awaitInForce(long version) {
		long beganMs = System.currentTimeMillis();
		Await.until("version " + version + " is in force in every entry", SECONDS_MS, () -> {
			boolean all = true;
			for (int i = 0; i < fleet().size(); i++) {
				all &= status(i, "entry").path("config_version").asLong() >= version;
			}
			return all;
		});
		return System.currentTimeMillis() - beganMs;
	}

	private void awaitEveryStewardAt(long version) {
		Await.until("every steward is at version " + version, SECONDS_MS, () -> {
			boolean all = true;
			for (int i = 0; i < fleet().size(); i++) {
				all &= status(i, "steward").path("config_version").asLong() >= version;
			}
			return all;
		});
	}

	@Test
	void racingOperatorsWithDifferentDeclarationsBothWin() throws IOException {
		long before = headVersion();
		List<CompletableFuture<Integer>> operators = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			Path directory = checkout("\n[workspace race-" + i + "]\nweight = 2\n");
			String author = "operator-" + i;
			operators.add(CompletableFuture.supplyAsync(() -> apply(directory, author)));
		}
		operators.forEach((operator) -> assertEquals(operator.join().intValue(), ExitCode.OK));
		long millis = awaitInForce(before + 4);
		System.out.println("four racing changes in force everywhere after " + millis + " ms");
	}

	@Test
	void racingOperatorsOnOneDeclarationGetAConflict() throws IOException {
		Path first = checkout("\n[workspace disputed]\nweight = 2\n");
		Path second = checkout("\n[workspace disputed]\nweight = 3\n");
		assertEquals(apply(first, "ana"), ExitCode.OK);
		assertEquals(apply(second, "beto"), ExitCode.CONFLICT);
	}

	@Test
	void anOldCheckoutNeverRevertsAnothersChange() throws IOException {
		Path old = checkout("");
		assertEquals(apply(checkout("\n[workspace newer]\n"), "ana"), ExitCode.OK);
		long version = headVersionAfterApply();
		assertEquals(apply(old, "beto"), ExitCode.OK);
		assertEquals(headVersionAfterApply(), version, "nothing to change");
	}

	private long headVersionAfterApply() {
		Await.sleep(1_500);
		return headVersion();
	}

	@Test
	void aLostAnswerIsResolvedToAccepted() throws IOException {
		long before = headVersionAfterApply();
		fleet().setPlatformFault("{\"lose_answers\":4}");
		assertEquals(apply(checkout("\n[workspace lost-answer]\n"), "ana"), ExitCode.OK);
		fleet().setPlatformFault("{\"lose_answers\":0}");
		awaitInForce(before + 1);
	}

	@DataProvider
	Object[][] wrong() {
		return new Object[][] { { "\n[workspace w]\nweight = heavy\n" }, { "\n[policy p]\nadmit = request.nothing\n" },
				{ "\n[pipeline p]\nstages = nowhere\n" } };
	}

	@Test(dataProvider = "wrong")
	void wrongDeclarationsAreRefusedAndChangeNothing(String extra) throws IOException {
		long before = headVersionAfterApply();
		assertEquals(apply(checkout(extra), "ana"), ExitCode.REFUSED);
		assertEquals(headVersionAfterApply(), before);
	}

	@Test(priority = 1)
	void duringAnOutageNothingIsAcceptedAndNothingReverts() throws IOException {
		long before = headVersionAfterApply();
		fleet().setPlatformFault("{\"outage\":true}");
		assertEquals(apply(checkout("\n[workspace outage]\n"), "ana"), ExitCode.FAILED);
		fleet().vm(2).steward().kill();
		fleet().vm(2).entry().kill();
		fleet().restartSteward(2);
		fleet().restartEntry(2);
		awaitEveryStewardAt(before);
		assertEquals(status(2, "entry").path("config_version").asLong(), before,
				"a new VM in an outage asks its peers");
		fleet().setPlatformFault("{\"outage\":false}");
	}

	@Test(priority = 1)
	void aFrozenStewardThatWakesCatchesUp() throws IOException {
		long before = headVersionAfterApply();
		fleet().vm(1).steward().suspend();
		assertEquals(apply(checkout("\n[workspace frozen]\n"), "ana"), ExitCode.OK);
		Await.sleep(2_000);
		fleet().vm(1).steward().resume();
		long millis = awaitInForce(before + 1);
		System.out.println("in force at the woken VM after " + millis + " ms");
	}

	@Test(priority = 2)
	void aPlatformThatServesOldReadsRevertsNothing() {
		long before = headVersionAfterApply();
		fleet().setPlatformFault("{\"old_reads\":true}");
		for (int i = 0; i < 5; i++) {
			Await.sleep(300);
			assertTrue(headVersion() >= before);
		}
		fleet().setPlatformFault("{\"old_reads\":false}");
	}

	@Test(priority = 3)
	void aVmCutOffFromThePlatformHearsFromItsPeers() throws IOException {
		long before = headVersionAfterApply();
		fleet().proxy("platform-vm-3").setRefusing(true);
		fleet().proxy("platform-vm-3").closeConnections();
		assertEquals(apply(checkout("\n[workspace cut-off]\n"), "ana"), ExitCode.OK);
		long millis = awaitInForce(before + 1);
		System.out.println("in force at the VM cut off after " + millis + " ms");
		fleet().proxy("platform-vm-3").setRefusing(false);
	}

}
