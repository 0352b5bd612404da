package org.tallycart.node;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.tallycart.runtime.event.EventCode;
import org.tallycart.runtime.process.TaskFailureHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link EventLoop}.
 */
public class EventLoopTests {

	private static final int WAIT_S = 15;

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	@AfterMethod(alwaysRun = true)
	void end() {
		this.executor.shutdownNow();
	}

	@Test
	void aPeriodicTaskThatFailsIsReportedAndRunsAgain() throws InterruptedException {
		List<EventCode> reported = new CopyOnWriteArrayList<>();
		EventLoop loop = new EventLoop(this.executor, TaskFailureHandler.install((code, detail) -> reported.add(code)));
		CountDownLatch runs = new CountDownLatch(2);

		loop.scheduleWithFixedDelay(1, () -> {
			runs.countDown();
			throw new IllegalStateException("broken");
		});

		assertTrue(runs.await(WAIT_S, TimeUnit.SECONDS), "the task did not run again");
		assertEquals(reported.get(0), EventCode.TASK_FAILED);
	}

}
