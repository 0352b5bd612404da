package org.tallycart.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

import org.tallycart.core.ini.Address;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for the faults of the proxy, on loopback sockets.
 */
public class FaultProxyTests {

	private static final String CUT_HOST = "127.0.1.1";

	private static final String OTHER_HOST = "127.0.1.2";

	private static final int ROUNDS = 20;

	private static final int REPEATED_CUTS = 4;

	private static final int REFUSING_CUTS = 200;

	/** Length of the target's queue, which accepts no connections. */
	private static final int TARGET_BACKLOG = 1_000;

	private static final int CALLERS = 2;

	/** Time in which a listener that is not cut off answers, in milliseconds. */
	private static final int CONNECT_TIMEOUT_MS = 100;

	private static final int OTHER_TIMEOUT_MS = 5_000;

	@DataProvider
	static Object[][] silentCuts() {
		return new Object[][] { { FaultProxy.Cut.SILENT }, { FaultProxy.Cut.NEW_SILENT } };
	}

	// Guards against cuts under which the first new connection to an upstream succeeds,
	// so that a VM finds its links sound.
	@Test(dataProvider = "silentCuts")
	void newConnectionsAreNotAnswered(FaultProxy.Cut cut) throws IOException {
		int answered = 0;
		for (int round = 0; round < ROUNDS; round++) {
			try (ServerSocket target = listen(); FaultProxy proxy = start(target)) {
				proxy.cut(CUT_HOST, cut);
				answered += countAnswered(proxy, CUT_HOST, CONNECT_TIMEOUT_MS);
			}
		}
		assertEquals(answered, 0, "new connections answered in " + ROUNDS + " cuts");
	}

	// Guards against cuts that outlast their end, or that hold only once.
	@Test(dataProvider = "silentCuts")
	void newConnectionsAreAnsweredBetweenCuts(FaultProxy.Cut cut) throws IOException {
		try (ServerSocket target = listen(); FaultProxy proxy = start(target)) {
			for (int i = 0; i < REPEATED_CUTS; i++) {
				proxy.cut(CUT_HOST, cut);
				assertEquals(countAnswered(proxy, CUT_HOST, CONNECT_TIMEOUT_MS), 0);
				assertEquals(countAnswered(proxy, OTHER_HOST, OTHER_TIMEOUT_MS), CALLERS);
				proxy.heal(CUT_HOST);
				assertEquals(countAnswered(proxy, CUT_HOST, OTHER_TIMEOUT_MS), CALLERS);
			}
		}
	}

	// Guards against a cut that can't end because its address is still in use.
	@Test
	void refusingCutsCanEndAtOnce() throws IOException {
		try (ServerSocket target = listen(); FaultProxy proxy = start(target)) {
			for (int i = 0; i < REFUSING_CUTS; i++) {
				proxy.cut(CUT_HOST, FaultProxy.Cut.NEW_REFUSED);
				proxy.heal(CUT_HOST);
			}
			assertEquals(countAnswered(proxy, CUT_HOST, OTHER_TIMEOUT_MS), CALLERS);
		}
	}

	private static ServerSocket listen() throws IOException {
		return new ServerSocket(0, TARGET_BACKLOG, InetAddress.getLoopbackAddress());
	}

	private static FaultProxy start(ServerSocket target) throws IOException {
		return FaultProxy.start(new Address("127.0.0.1", target.getLocalPort()), List.of(CUT_HOST, OTHER_HOST));
	}

	private static int countAnswered(FaultProxy proxy, String host, int timeoutMs) throws IOException {
		List<Socket> callers = new ArrayList<>();
		int answered = 0;
		try {
			for (int i = 0; i < CALLERS; i++) {
				Socket caller = new Socket();
				callers.add(caller);
				try {
					caller.connect(new InetSocketAddress(host, proxy.address().port()), timeoutMs);
					answered++;
				}
				catch (SocketTimeoutException ex) {
					// The listener leaves it unanswered.
				}
			}
		}
		finally {
			for (Socket caller : callers) {
				caller.close();
			}
		}
		return answered;
	}

}
