package org.tallycart.node;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for one VM that gets most new connections, so that its event loop is late.
 */
public class UnevenConnectionsTests extends AbstractNodeTests {

	/** Time by which a task delays the event loop, in milliseconds. */
	private static final int TASK_MS = 180;

	private static final int CALLERS = 8;

	private static final int REQUESTS = 60;

	private final Map<String, String> responses = new ConcurrentHashMap<>();

	private final AtomicInteger unread = new AtomicInteger();

	@Override
	int vms() {
		return 2;
	}

	// Guards against requests that wait at a VM which gets most new connections, while
	// another VM could serve them.
	@Test
	void requestsThatALateVmHasNotReadAreServedByAnother() {
		this.responses.clear();
		this.unread.set(0);
		Node late = this.nodes.get(0);
		AtomicBoolean busy = new AtomicBoolean(true);
		late.scheduleWithFixedDelay(1, () -> {
			if (busy.get()) {
				pause(TASK_MS);
			}
		});
		startCallers(CALLERS, 20, (round) -> call("r" + round + "-" + Thread.currentThread().getId()));
		await(() -> this.responses.size() >= REQUESTS);
		busy.set(false);
		this.responses.values().forEach((response) -> assertTrue(response.startsWith("HTTP/1.1 200"), response));
		assertTrue(this.unread.get() > 0, "all connections were admitted");
		this.responses.keySet().forEach((id) -> assertEquals(runs(id), 1, id));
	}

	// Guards against a VM that stays closed to new connections.
	@Test
	void aVmThatIsOnTimeAgainAdmitsConnections() {
		Node node = this.nodes.get(0);
		AtomicBoolean busy = new AtomicBoolean(true);
		node.scheduleWithFixedDelay(1, () -> {
			if (busy.get()) {
				pause(TASK_MS);
			}
		});
		AtomicBoolean refused = new AtomicBoolean();
		// A single caller may connect less often than a late VM still admits connections.
		startCallers(CALLERS, 20, (round) -> {
			String id = "late" + round + "-" + Thread.currentThread().getId();
			if (!refused.get() && !request(node, "/plain/x", id, KEY).startsWith("HTTP")) {
				refused.set(true);
			}
		});
		await(refused::get);
		busy.set(false);
		for (int i = 0; i < CALLERS; i++) {
			String id = "again" + i;
			await(() -> request(node, "/plain/x", id, KEY).startsWith("HTTP/1.1 200"));
		}
		assertTrue(metrics(node).contains("connections_not_admitted"));
	}

	// A caller tries the late VM first, and the other one if its request was not read.
	private void call(String id) {
		String response = request(this.nodes.get(0), "/once/x", id, KEY);
		if (!response.startsWith("HTTP")) {
			this.unread.incrementAndGet();
			response = request(this.nodes.get(1), "/once/x", id, KEY);
		}
		this.responses.put(id, response);
	}

}
