package org.tallycart.http.event;

import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link BodyFraming}.
 */
public class BodyFramingTests {

	private static BasicHttpRequest request(String... fields) {
		BasicHttpRequest request = new BasicHttpRequest("POST", "/");
		for (int i = 0; i < fields.length; i += 2) {
			request.addHeader(fields[i], fields[i + 1]);
		}
		return request;
	}

	@DataProvider
	static Object[][] ambiguous() {
		return new Object[][] { { request("Content-Length", "5", "Transfer-Encoding", "chunked") },
				{ request("Content-Length", "5", "Content-Length", "5") }, { request("Content-Length", "5, 6") },
				{ request("Content-Length", "+5") }, { request("Content-Length", "-1") },
				{ request("Content-Length", "0x5") }, { request("Content-Length", "") },
				{ request("Transfer-Encoding", "gzip, chunked") }, { request("Transfer-Encoding", "identity") },
				{ request("Transfer-Encoding", "chunked", "Transfer-Encoding", "chunked") } };
	}

	@Test(dataProvider = "ambiguous")
	void rejectsAmbiguousFraming(BasicHttpRequest request) {
		assertTrue(BodyFraming.ofRequest(request).isLeft());
	}

	@Test
	void parsesUnambiguousFraming() {
		assertEquals(BodyFraming.ofRequest(request("Content-Length", "12")).get().length(), 12);
		assertEquals(BodyFraming.ofRequest(request("Transfer-Encoding", "Chunked")).get(), BodyFraming.CHUNKED);
		assertEquals(BodyFraming.ofRequest(request()).get(), BodyFraming.EMPTY);
		assertEquals(BodyFraming.ofResponse(request(), 200, false).get(), BodyFraming.UNTIL_CLOSE);
		assertEquals(BodyFraming.ofResponse(request("Content-Length", "9"), 204, false).get(), BodyFraming.EMPTY);
	}

}
