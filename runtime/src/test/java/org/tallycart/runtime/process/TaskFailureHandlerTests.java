package org.tallycart.runtime.process;

import java.util.ArrayList;
import java.util.List;

import org.tallycart.core.outcome.InvariantViolation;
import org.tallycart.core.outcome.UncaughtErrorReporter;
import org.tallycart.runtime.event.EventCode;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link TaskFailureHandler}.
 */
public class TaskFailureHandlerTests {

	private final List<EventCode> reported = new ArrayList<>();

	private final List<Integer> halts = new ArrayList<>();

	private final TaskFailureHandler handler = new TaskFailureHandler((code, detail) -> this.reported.add(code),
			this.halts::add);

	@BeforeMethod
	void reset() {
		this.reported.clear();
		this.halts.clear();
	}

	@Test
	void invariantViolationIsReportedAndHaltsTheProcess() {
		this.handler.wrap("test", () -> InvariantViolation.check(false, "broken")).run();

		assertEquals(this.reported, List.of(EventCode.INVARIANT_BROKEN));
		assertEquals(this.halts, List.of(ExitCode.INVARIANT_BROKEN));
	}

	@Test
	void errorCaughtByALibraryReachesTheUncaughtExceptionHandler() throws InterruptedException {
		Thread thread = new Thread(() -> UncaughtErrorReporter.report(new IllegalStateException("caught")));
		thread.setUncaughtExceptionHandler((where, error) -> this.handler.onError("test", error));
		thread.start();
		thread.join();

		assertEquals(this.reported, List.of(EventCode.TASK_FAILED));
		assertEquals(this.halts, List.of());
	}

}
