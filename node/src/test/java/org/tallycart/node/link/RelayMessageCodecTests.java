package org.tallycart.node.link;

import org.tallycart.http.event.CallFailure;
import org.tallycart.wire.message.RelayFailure;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link RelayMessageCodec}.
 */
public class RelayMessageCodecTests {

	@DataProvider
	static Object[][] kinds() {
		return new Object[][] { { CallFailure.Kind.NOT_CONNECTED, CallFailure.Kind.NOT_CONNECTED },
				{ CallFailure.Kind.CLOSED, CallFailure.Kind.CLOSED },
				{ CallFailure.Kind.TIMED_OUT, CallFailure.Kind.CLOSED },
				{ CallFailure.Kind.MALFORMED, CallFailure.Kind.MALFORMED },
				{ CallFailure.Kind.LIMIT_EXCEEDED, CallFailure.Kind.LIMIT_EXCEEDED } };
	}

	// Guards against a faulty upstream that another VM takes for one that has crashed.
	@Test(dataProvider = "kinds")
	void theKindOfAFailureIsKeptOverARelay(CallFailure.Kind sent, CallFailure.Kind received) throws Exception {
		RelayFailure message = RelayFailure
			.parseFrom(RelayMessageCodec.encode(new CallFailure(sent, true, "detail")).toByteArray());
		assertEquals(RelayMessageCodec.decode(message), new CallFailure(received, true, "detail"));
	}

	@Test
	void aKindOfANewerVersionCountsAsAClosedConnection() {
		RelayFailure message = RelayFailure.newBuilder().setKindValue(99).setSent(true).build();
		assertEquals(RelayMessageCodec.decode(message).kind(), CallFailure.Kind.CLOSED);
	}

}
