package org.tallycart.node;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link SelfTest}.
 */
public class SelfTestTests {

	@Test
	void twoVmsServeBothKindsOfRequest() throws InterruptedException {
		assertEquals(SelfTest.run(), List.of());
	}

}
