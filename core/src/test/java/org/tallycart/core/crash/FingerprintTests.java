package org.tallycart.core.crash;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.tallycart.core.serving.CallerRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

/**
 * Tests for {@link Fingerprint}.
 */
public class FingerprintTests {

	private static Fingerprint fingerprint(String id, String method, String host, String target, String key,
			String body) {
		return Fingerprint.of(new CallerRequest(id, method, target, host, List.of(),
				body.getBytes(StandardCharsets.UTF_8), Optional.empty(), Optional.of(key), Optional.empty(), List.of(),
				"", Optional.empty(), Optional.empty()));
	}

	@Test
	void sameRequestWithAnotherIdHasTheSameFingerprint() {
		assertEquals(fingerprint("r2", "POST", "h", "/p", "key", "body"),
				fingerprint("r1", "POST", "h", "/p", "key", "body"));
	}

	@DataProvider
	static Object[][] differences() {
		return new Object[][] { { "GET", "h", "/p", "key", "body" }, { "POST", "g", "/p", "key", "body" },
				{ "POST", "h", "/q", "key", "body" }, { "POST", "h", "/p", "other", "body" },
				{ "POST", "h", "/p", "key", "other" }, { "POST", "h", "/p", "ke", "ybody" },
				{ "POST", "h/", "p", "key", "body" } };
	}

	@Test(dataProvider = "differences")
	void differentRequestHasAnotherFingerprint(String method, String host, String target, String key, String body) {
		assertNotEquals(fingerprint("r1", method, host, target, key, body),
				fingerprint("r1", "POST", "h", "/p", "key", "body"));
	}

}
