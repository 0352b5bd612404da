package org.tallycart.core.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link ServingConfig} and {@link Route}.
 */
public class ServingConfigTests {

	private static Route route(String prefix, RequestKind kind, boolean publicAccess, boolean resumable) {
		return new Route("route" + prefix, "h", prefix, kind,
				List.of(new ServiceShare("a", 90), new ServiceShare("b", 10)), 1_000, 100, 0, 0, 1, List.of(),
				publicAccess, resumable);
	}

	private static final ServingConfig CONFIG = new ServingConfig(7,
			List.of(route("/", RequestKind.IDEMPOTENT, false, false),
					route("/a/", RequestKind.NON_IDEMPOTENT, true, false),
					route("/a/b/", RequestKind.STREAMING, false, true)),
			Map.of(), CallerLimits.DEFAULTS, Map.of("key", new Workspace("w", Optional.of(1))), true);

	@DataProvider
	static Object[][] paths() {
		return new Object[][] { { "h", "/a/b/c", "/a/b/" }, { "h", "/a/b", "/a/" }, { "h", "/a/bc/d", "/a/" },
				{ "h", "/x", "/" }, { "h", "/a/b/", "/a/b/" }, { "other", "/a/", "" }, { "h", "", "" } };
	}

	@Test(dataProvider = "paths")
	void longestPrefixOfTheHostIsSelected(String host, String path, String prefix) {
		assertEquals(CONFIG.route(host, path).map(Route::pathPrefix).orElse(""), prefix);
	}

	@Test
	void requestsAreSplitByWeight() {
		Route route = CONFIG.route("h", "/x").orElseThrow();
		Map<String, Integer> counts = new HashMap<>();
		for (int random = -500; random < 500; random++) {
			counts.merge(route.selectService(random), 1, Integer::sum);
		}
		assertEquals(counts, Map.of("a", 900, "b", 100));
	}

	@Test
	void routesWithPublicAccessNeedNoKey() {
		assertFalse(CONFIG.needsKey(CONFIG.route("h", "/a/x").orElseThrow()));
		assertTrue(CONFIG.needsKey(CONFIG.route("h", "/x").orElseThrow()));
		assertEquals(CONFIG.workspace("key").orElseThrow().name(), "w");
		assertTrue(CONFIG.workspace("other").isEmpty());
	}

	@Test
	void onlyIdempotentRequestsAndResumableStreamsAreRepeatable() {
		assertTrue(route("/", RequestKind.IDEMPOTENT, false, false).repeatable());
		assertFalse(route("/", RequestKind.NON_IDEMPOTENT, false, true).repeatable());
		assertFalse(route("/", RequestKind.STREAMING, false, false).repeatable());
		assertTrue(route("/", RequestKind.STREAMING, false, true).repeatable());
	}

	@DataProvider
	static Object[][] firstEventTimeouts() {
		return new Object[][] { { RequestKind.STREAMING, 1_100, 200, 4_400L },
				{ RequestKind.STREAMING, 300, 100, 2_000L }, { RequestKind.STREAMING, 300, 500, 4_000L },
				{ RequestKind.IDEMPOTENT, 100, 0, Long.MAX_VALUE },
				{ RequestKind.NON_IDEMPOTENT, 100, 0, Long.MAX_VALUE } };
	}

	/**
	 * Guards against waiting for the request timeout of 20 s when the caller gives up
	 * earlier.
	 */
	@Test(dataProvider = "firstEventTimeouts")
	void firstEventTimeoutOfAStreamIgnoresTheRequestTimeout(RequestKind kind, long objectiveMs, long gapMs,
			long timeoutMs) {
		Route route = new Route("r", "h", "/", kind, List.of(), 20_000, objectiveMs, gapMs, 0, 1, List.of(), false,
				false);
		assertEquals(route.firstEventTimeoutMs(), timeoutMs);
	}

}
