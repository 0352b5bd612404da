package org.tallycart.integration;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.tallycart.testbed.Await;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@code bin/play-days} with a script in place of the bench.
 */
public class PlayDaysTests {

	private static final int WAIT_MS = 30_000;

	/** Time limit of a play; many times what a play of the stand-in takes. */
	private static final int PLAY_LIMIT_S = 10;

	private static final String HEADER = "entry\tplay\tcode\tsite\tday\tseed\tvms\tworth\tserved\tbroken\t"
			+ "weighs_most\ttook_s\toutcome";

	/**
	 * Does what the site's file says. As the bench does, it plays in the repository,
	 * which is its current directory.
	 */
	private static final String BENCH = """
			#!/bin/bash
			echo "$*" >> "$PWD/calls"
			echo "built in 0.0 s"
			read -r behaviour < "$2"
			case $behaviour in
			  killed) kill -KILL $$ ;;
			  waits) while [ -e "$PWD/hold" ]; do sleep 0.05; done ;;
			  fails) echo "no such day"; exit 2 ;;
			esac
			broken='' status=0
			if [ "$behaviour" = breaks ]; then broken='  BROKEN: LOST 3, DRAIN 1 (else 0.55)' status=1; fi
			if [ "$behaviour" = slow ]; then
			  broken='  BROKEN: fault (else 1.00)'
			  echo "short of the gate: fault: too slow: given up at 48.8 s"
			fi
			echo "day                  own/srv  score  worth served refused failed  weakest part"
			if [ "$1" = hunt ]; then
			  echo "quiet-1 --seed 77    61/145   0.69  0.856  0.966   0.000  0.005  worst class 0.84; prices 0.081"
			  echo "deploy/days/own.toml --vary --seed 78    61/145   0.85  0.853  0.973   0.000  0.006  worst class 0.87"
			  echo "'mix' days draw from all disruptions"
			else
			  echo "x                  6/30   0.00  0.551  0.792   0.001  0.090  worst windows 0.32; most for a|b$broken"
			  echo
			  echo "worth 0.551 = whole day 0.792 (weight 0.4)"
			fi
			exit $status
			""";

	private Path directory;

	private Path repository;

	private Path results;

	private final List<Process> started = new ArrayList<>();

	private final Map<Process, Path> printed = new HashMap<>();

	@BeforeMethod
	void prepare() throws IOException {
		this.directory = Files.createTempDirectory("play-days").toRealPath();
		this.repository = Files.createDirectory(this.directory.resolve("repository"));
		this.results = this.directory.resolve("results.tsv");
		Path bench = Files.writeString(this.directory.resolve("bench"), BENCH);
		assertTrue(bench.toFile().setExecutable(true));
		site("sound", "plays");
	}

	@AfterMethod(alwaysRun = true)
	void endProcesses() throws IOException, InterruptedException {
		for (Process process : this.started) {
			process.descendants().forEach(ProcessHandle::destroyForcibly);
			process.destroyForcibly();
			process.waitFor(WAIT_MS, TimeUnit.MILLISECONDS);
		}
		this.started.clear();
		this.printed.clear();
		try (Stream<Path> files = Files.walk(this.directory)) {
			files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
		}
	}

	@Test
	void eachDayIsKeptInResultsAndTable() throws Exception {
		Path table = this.directory.resolve("page.md");
		Files.writeString(table, "Before\n<!-- play-days -->\nold\n<!-- /play-days -->\nAfter\n");
		site("breaking", "breaks");
		site("slow", "slow");
		list("# a comment", "sound.toml hunt:2", "", "breaking.toml trouble-1 5", "slow.toml mix 6 vary # the last");
		Ended ended = play("--table", table.toString(), "--why", "a look", "--cores", "1", "--day-cap", "900");
		assertEquals(ended.status(), 1, ended.text());
		assertEquals(calls(),
				List.of("hunt " + path("sound.toml") + " --days 2 --jobs 1 --day-cap 900 --why a look",
						"run " + path("breaking.toml") + " trouble-1 --seed 5 --jobs 1 --day-cap 900 --why a look",
						"run " + path("slow.toml") + " mix --seed 6 --vary --jobs 1 --day-cap 900 --why a look"));
		assertEquals(rows("site", "day", "seed", "vms", "worth", "served", "broken", "outcome"),
				List.of("sound quiet-1 77 61 0.856 0.966 none played",
						"sound own, varied 78 61 0.853 0.973 none played",
						"breaking trouble-1 5 6 0.551 0.792 LOST 3, DRAIN 1 played",
						"slow mix, varied 6 6 0.551 0.792 fault: too slow: given up at 48.8 s played"));
		List<String> page = Files.readAllLines(table);
		assertEquals(page.get(0), "Before");
		assertEquals(page.get(page.size() - 1), "After");
		assertFalse(page.contains("old"));
		assertTrue(page.contains("| breaking | trouble-1 | 5 | 6 | 0.551 | 0.792 | LOST 3, DRAIN 1 "
				+ "| worst windows 0.32; most for a\\|b | one |"), page.toString());
		assertEquals(page.stream().filter((line) -> line.startsWith("| ")).count(), 2 + 4);
	}

	@Test
	void anInterruptedListGoesOnWhereItStopped() throws Exception {
		site("long", "waits");
		Files.createFile(this.repository.resolve("hold"));
		list("sound.toml mix 1", "long.toml mix 2", "sound.toml mix 3");
		Process process = start();
		Await.until("the second day is played", WAIT_MS, () -> calls().size() == 2);
		process.destroy();
		Ended ended = ended(process);
		assertEquals(ended.status(), 130, ended.text());
		assertEquals(rows("entry", "outcome"), List.of("sound mix 1 played", "long mix 2 not played: interrupted"));
		Await.until("the bench has ended", WAIT_MS, () -> process.descendants().noneMatch(ProcessHandle::isAlive));
		Files.delete(this.repository.resolve("hold"));
		ended = play();
		assertEquals(ended.status(), 0, ended.text());
		assertEquals(rows("entry", "outcome"), List.of("sound mix 1 played", "long mix 2 not played: interrupted",
				"long mix 2 played", "sound mix 3 played"));
		assertEquals(calls().size(), 4);
		assertEquals(play().status(), 0);
		assertEquals(calls().size(), 4);
	}

	@Test
	void aKilledScriptKeepsWhatWasPlayed() throws Exception {
		site("long", "waits");
		Files.createFile(this.repository.resolve("hold"));
		list("sound.toml mix 1", "long.toml mix 2");
		Process process = start();
		Await.until("the second day is played", WAIT_MS, () -> calls().size() == 2);
		List<ProcessHandle> descendants = process.descendants().toList();
		process.destroyForcibly();
		assertTrue(process.waitFor(WAIT_MS, TimeUnit.MILLISECONDS));
		descendants.forEach(ProcessHandle::destroyForcibly);
		// What a write leaves that is cut off.
		Files.writeString(this.results, Files.readString(this.results) + "long mix 2\tcut");
		Files.delete(this.repository.resolve("hold"));
		Ended ended = play();
		assertEquals(ended.status(), 0, ended.text());
		assertTrue(ended.text().contains("line 3 of " + this.results + " is incomplete"), ended.text());
		assertEquals(calls().stream().map((call) -> call.replaceAll(".*--seed (\\d+) .*", "$1")).toList(),
				List.of("1", "2", "2"));
		assertEquals(rows("entry", "outcome"), List.of("sound mix 1 played", "long mix 2 played"));
	}

	@Test
	void aSiteOrDayThatCannotBeReadIsNamed() throws Exception {
		list("sound.toml mix 1", "missing.toml mix 2", "sound.toml " + path("own.toml") + " 3", "sound.toml mix 4");
		Ended ended = play();
		assertEquals(ended.status(), 3, ended.text());
		assertTrue(ended.text().contains("cannot read the site file 'missing.toml' (line 2 of the list)"),
				ended.text());
		assertTrue(ended.text().contains("cannot read the day's file '" + path("own.toml") + "' (line 3 of the list)"),
				ended.text());
		assertTrue(ended.text().contains("2 of 4 entries not played"), ended.text());
		assertEquals(calls().size(), 2);
		site("missing", "plays");
		Files.writeString(this.directory.resolve("own.toml"), "name = \"own\"\n");
		ended = play();
		assertEquals(ended.status(), 0, ended.text());
		assertEquals(calls().size(), 4);
		assertEquals(rows("entry", "outcome").subList(4, 6), List.of("missing mix 2 played", "sound own 3 played"));
		assertTrue(calls().get(3).startsWith("run " + path("sound.toml") + " " + path("own.toml") + " --seed 3 "),
				calls().toString());
	}

	@Test
	void aBenchThatIsEndedMidwayLeavesTheResults() throws Exception {
		site("dying", "killed");
		site("failing", "fails");
		list("sound.toml mix 1", "dying.toml mix 2", "failing.toml mix 3", "sound.toml mix 4");
		Ended ended = play();
		assertEquals(ended.status(), 3, ended.text());
		List<String> expected = new ArrayList<>(List.of("sound mix 1 played",
				"dying mix 2 not played: the bench was ended by signal 9; its last line: built in 0.0 s",
				"failing mix 3 not played: the bench ended with 2 and gave no day; its last line: no such day",
				"sound mix 4 played"));
		assertEquals(rows("entry", "outcome"), expected);
		site("dying", "plays");
		site("failing", "plays");
		ended = play();
		assertEquals(ended.status(), 0, ended.text());
		expected.addAll(List.of("dying mix 2 played", "failing mix 3 played"));
		assertEquals(rows("entry", "outcome"), expected);
	}

	@Test
	void aPlayThatTakesTooLongIsEnded() throws Exception {
		site("long", "waits");
		Files.createFile(this.repository.resolve("hold"));
		list("long.toml mix 1", "sound.toml mix 2");
		Ended ended = play("--play-limit-s", String.valueOf(PLAY_LIMIT_S));
		assertEquals(ended.status(), 3, ended.text());
		assertEquals(rows("entry", "outcome"),
				List.of("long mix 1 not played: ended after " + PLAY_LIMIT_S + " s", "sound mix 2 played"));
	}

	@Test
	void nothingIsPlayedBesideABuild() throws Exception {
		Process build = startBuild(this.repository);
		list("sound.toml mix 1");
		Ended ended = play("--build-wait-s", "1");
		assertEquals(ended.status(), 3, ended.text());
		assertTrue(ended.text().contains("a build in the repository did not end in 1 s"), ended.text());
		assertEquals(calls(), List.of());
		Process process = start();
		endBuild(build);
		ended = ended(process);
		assertEquals(ended.status(), 0, ended.text());
		assertEquals(calls().size(), 1);
	}

	@Test
	void aBuildElsewhereIsNotWaitedFor() throws Exception {
		startBuild(Files.createDirectory(this.directory.resolve("repository-2")));
		list("sound.toml mix 1");
		Ended ended = play("--build-wait-s", "0");
		assertEquals(ended.status(), 0, ended.text());
	}

	@Test
	void aPlayBesideWhichABuildBeginsIsPlayedAgain() throws Exception {
		site("long", "waits");
		Files.createFile(this.repository.resolve("hold"));
		list("long.toml mix 1");
		Process process = start();
		Await.until("the day is played", WAIT_MS, () -> calls().size() == 1);
		Process build = startBuild(Files.createDirectory(this.repository.resolve("core")));
		Await.until("the play has ended", WAIT_MS, () -> process.descendants()
			.noneMatch((child) -> child.info().commandLine().orElse("").contains("bench")));
		Files.delete(this.repository.resolve("hold"));
		endBuild(build);
		Ended ended = ended(process);
		assertEquals(ended.status(), 0, ended.text());
		assertTrue(ended.text().contains("as a build began in"), ended.text());
		assertEquals(calls().size(), 2);
		assertEquals(rows("entry", "outcome"), List.of("long mix 1 played"));
	}

	@Test
	void otherCodeIsPlayedAgain() throws Exception {
		list("sound.toml mix 1", "sound.toml mix 1", "sound.toml hunt:2");
		assertEquals(play().status(), 0);
		assertEquals(calls().size(), 3);
		assertEquals(play("--code", "two").status(), 0);
		assertEquals(calls().size(), 6);
		assertEquals(play("--code", "two").status(), 0);
		assertEquals(calls().size(), 6);
		assertEquals(rows("code").stream().distinct().toList(), List.of("one", "two"));
	}

	@Test
	void resultsInUseAreLeftAlone() throws Exception {
		site("long", "waits");
		Files.createFile(this.repository.resolve("hold"));
		list("long.toml mix 1");
		Process process = start();
		Await.until("the day is played", WAIT_MS, () -> calls().size() == 1);
		Ended second = play();
		assertEquals(second.status(), 4, second.text());
		Files.delete(this.repository.resolve("hold"));
		assertEquals(ended(process).status(), 0);
		assertEquals(calls().size(), 1);
	}

	@Test
	void aFileThatIsNoResultsFileIsLeftAsItIs() throws Exception {
		list("sound.toml mix 1");
		Files.writeString(this.results, "notes\n");
		Ended ended = play();
		assertEquals(ended.status(), 2, ended.text());
		assertEquals(Files.readString(this.results), "notes\n");
		Files.delete(this.results);
		Path page = Files.writeString(this.directory.resolve("page.md"), "no marks\n");
		ended = play("--table", page.toString());
		assertEquals(ended.status(), 2, ended.text());
		assertEquals(Files.readString(page), "no marks\n");
		assertEquals(calls(), List.of());
	}

	@DataProvider
	Object[][] wrongLists() {
		return new Object[][] { { "sound.toml", "line 2 of" }, { "sound.toml mix x", "the seed 'x'" },
				{ "sound.toml mix -5", "the seed '-5'" }, { "sound.toml mix 5 varied", "expected 'vary'" },
				{ "sound.toml mix 5 vary 6", "has more than" }, { "sound.toml hunt:0", "hunt:1 to hunt:200" },
				{ "sound.toml hunt:201", "hunt:1 to hunt:200" }, { "sound.toml hunt:2 5", "takes none" },
				{ "sound.toml --log", "no day" }, { "--log mix", "no site" } };
	}

	@Test(dataProvider = "wrongLists")
	void aWrongListIsRejectedBeforeAnythingIsPlayed(String line, String message) throws Exception {
		list("sound.toml mix 1", line);
		Ended ended = play();
		assertEquals(ended.status(), 2, ended.text());
		assertTrue(ended.text().contains(message), ended.text());
		assertEquals(calls(), List.of());
		assertFalse(Files.exists(this.results));
	}

	@DataProvider
	Object[][] wrongArguments() {
		return new Object[][] { { List.of("--cores", "0"), "--cores must be a whole number" },
				{ List.of("--cores", "100000"), "--cores must be a whole number" },
				{ List.of("--cores", "two"), "--cores must be a whole number" },
				{ List.of("--cores"), "--cores needs a value" }, { List.of("--why", ""), "--why needs a value" },
				{ List.of("--day-cap", "-1"), "--day-cap must be" },
				{ List.of("--play-limit-s", "0"), "--play-limit-s must be" },
				{ List.of("--build-wait-s", "1.5"), "--build-wait-s must be" },
				{ List.of("--code", "a b"), "must not hold spaces" },
				{ List.of("--bench", "none"), "cannot run the bench" },
				{ List.of("--list", "none"), "cannot read the list" },
				{ List.of("--repository", "none"), "no directory" }, { List.of("--verbose"), "unknown argument" },
				{ List.of("mix"), "unknown argument" } };
	}

	@Test(dataProvider = "wrongArguments")
	void wrongArgumentsAreRejected(List<String> arguments, String message) throws Exception {
		list("sound.toml mix 1");
		Ended ended = play(arguments.toArray(String[]::new));
		assertEquals(ended.status(), 2, ended.text());
		assertTrue(ended.text().contains(message), ended.text());
		assertEquals(calls(), List.of());
	}

	@Test
	void itExplainsItself() throws Exception {
		Ended ended = ended(launch(List.of(script(), "--help")));
		assertEquals(ended.status(), 0);
		assertTrue(ended.text().contains("--results FILE"), ended.text());
		ended = ended(launch(List.of(script())));
		assertEquals(ended.status(), 2);
		assertTrue(ended.text().contains("--bench is missing"), ended.text());
	}

	private static String script() {
		return Path.of("..", "bin", "play-days").toAbsolutePath().normalize().toString();
	}

	private String path(String name) {
		return this.directory.resolve(name).toString();
	}

	private void site(String name, String behaviour) throws IOException {
		Files.writeString(this.directory.resolve(name + ".toml"), behaviour + "\n");
	}

	private void list(String... lines) throws IOException {
		Files.write(this.directory.resolve("list"), List.of(lines));
	}

	private List<String> calls() {
		Path file = this.repository.resolve("calls");
		try {
			return Files.exists(file) ? Files.readAllLines(file) : List.of();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private List<String> rows(String... columns) throws IOException {
		List<String> lines = Files.readAllLines(this.results);
		assertEquals(lines.get(0), HEADER);
		List<String> names = List.of(HEADER.split("\t"));
		return lines.stream()
			.skip(1)
			.map((line) -> line.split("\t"))
			.filter((cells) -> cells.length == names.size())
			.map((cells) -> String.join(" ", Stream.of(columns).map((column) -> cells[names.indexOf(column)]).toList()))
			.toList();
	}

	private Ended play(String... more) throws IOException, InterruptedException {
		return ended(start(more));
	}

	private Process start(String... more) throws IOException {
		List<String> command = new ArrayList<>(List.of(script(), "--bench", path("bench"), "--list", path("list"),
				"--results", this.results.toString(), "--repository", this.repository.toString(), "--code", "one"));
		command.addAll(List.of(more));
		return launch(command);
	}

	private Process launch(List<String> command) throws IOException {
		Path text = Files.createTempFile(this.directory, "printed", ".txt");
		Process process = new ProcessBuilder(command).directory(this.directory.toFile())
			.redirectErrorStream(true)
			.redirectOutput(text.toFile())
			.start();
		this.started.add(process);
		this.printed.put(process, text);
		return process;
	}

	private Ended ended(Process process) throws IOException, InterruptedException {
		assertTrue(process.waitFor(WAIT_MS, TimeUnit.MILLISECONDS), "play-days did not end");
		return new Ended(process.exitValue(), Files.readString(this.printed.get(process)));
	}

	/**
	 * Start a process that looks like Maven in a directory.
	 */
	private Process startBuild(Path where) throws IOException {
		Process process = new ProcessBuilder("bash", "-c", "echo runs; read -r line",
				"org.codehaus.plexus.classworlds.launcher.Launcher")
			.directory(where.toFile())
			.start();
		this.started.add(process);
		assertEquals(process.inputReader().readLine(), "runs");
		return process;
	}

	private static void endBuild(Process build) throws IOException, InterruptedException {
		build.getOutputStream().close();
		assertTrue(build.waitFor(WAIT_MS, TimeUnit.MILLISECONDS));
	}

	private record Ended(int status, String text) {
	}

}
