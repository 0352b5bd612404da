package org.tallycart.node.log;

import java.util.List;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.slf4j.LoggerFactory;
import org.tallycart.runtime.event.EventCode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link NodeLog}.
 */
public class NodeLogTests {

	private static final Logger LOGGER = (Logger) LoggerFactory.getLogger(NodeLog.LOGGER_NAME);

	private final ListAppender<ILoggingEvent> lines = new ListAppender<>();

	private final NodeLog log = new NodeLog(() -> 0);

	@BeforeMethod
	void setUp() {
		this.lines.list.clear();
		this.lines.start();
		LOGGER.addAppender(this.lines);
	}

	@AfterMethod
	void tearDown() {
		LOGGER.detachAppender(this.lines);
	}

	private String line() {
		List<String> messages = this.lines.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
		assertEquals(messages.size(), 1, messages.toString());
		return messages.get(0);
	}

	@DataProvider
	static Object[][] values() {
		return new Object[][] { { "i-1", "i-1" }, { "", "\"\"" }, { "a b", "\"a b\"" }, { "a\"b", "\"a'b\"" },
				{ "a\nb", "\"a\\u000ab\"" }, { "a\r\nevent=TC1001", "\"a\\u000d\\u000aevent=TC1001\"" },
				{ "a\tb", "\"a\\u0009b\"" }, { "a\u001b[2J", "\"a\\u001b[2J\"" }, { "a\u0000", "\"a\\u0000\"" },
				{ "a\u007f", "\"a\\u007f\"" }, { "a\u0085", "\"a\\u0085\"" }, { "a\u2028", "\"a\\u2028\"" },
				{ "a\u202e", "\"a\\u202e\"" }, { "a\ud800", "\"a\\ud800\"" }, { "a{}", "a{}" },
				{ "caf\u00e9", "caf\u00e9" }, { "a\ud83d\ude00", "a\ud83d\ude00" } };
	}

	// Guards against text of other writers that looks like a line, or a pair, of its own.
	@Test(dataProvider = "values")
	void aValueIsOneValueOfOneLine(String value, String expected) {
		this.log.event(EventCode.UPSTREAM_UNREADABLE, "upstream", value, "reason", "NAME");
		assertEquals(line(), "event=TC6028 name=UPSTREAM_UNREADABLE upstream=" + expected + " reason=NAME");
	}

	@Test(dataProvider = "values")
	void aRequestIdIsOneValueOfOneLine(String id, String expected) {
		this.log.request(EventCode.UPSTREAM_UNREADABLE, id);
		assertEquals(line(), "event=TC6028 name=UPSTREAM_UNREADABLE" + (id.isEmpty() ? "" : " request=" + expected));
	}

	@Test
	void aVeryLongValueIsCut() {
		this.log.event(EventCode.UPSTREAM_UNREADABLE, "upstream", "x".repeat(70_000), "reason", "NAME");
		assertTrue(line().length() < 5_000, line().length() + " characters");
		assertTrue(line().endsWith(" reason=NAME"), line());
	}

}
