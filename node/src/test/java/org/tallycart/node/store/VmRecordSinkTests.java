package org.tallycart.node.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.slf4j.LoggerFactory;
import org.tallycart.core.fleet.VmRecord;
import org.tallycart.node.log.NodeLog;
import org.tallycart.platform.store.StoredObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests for {@link VmRecordSink}.
 */
public class VmRecordSinkTests {

	private static final Logger LOGGER = (Logger) LoggerFactory.getLogger("tallycart.node");

	private static final String SOUND = "{\"address\":\"10.1.0.41:7740\",\"failure_domain\":\"d\",\"capacity\":750}";

	private static final String ODD = "{\"address\":\"no.host:1\"}";

	private final ListAppender<ILoggingEvent> lines = new ListAppender<>();

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

	private static StoredObject object(String name, String spec) throws JsonProcessingException {
		return new StoredObject(name, 7, new ObjectMapper().readTree(spec));
	}

	// Guards against a line for each time that the list, which is read once a second,
	// holds a record of another writer.
	@Test
	void anInvalidRecordIsLoggedOnceAndHidesNoOther() throws JsonProcessingException {
		List<Integer> counts = new ArrayList<>();
		VmRecordSink sink = new VmRecordSink(new NodeLog(() -> 0),
				(Collection<VmRecord> records) -> counts.add(records.size()));
		List<StoredObject> listed = List.of(object("vm-1", SOUND), object("vm-1&x", ODD), object("vm-2", SOUND));
		sink.onAll(listed);
		sink.onAll(listed);
		sink.onAll(List.of(object("vm-1", SOUND)));
		sink.onAll(listed);
		assertEquals(counts, List.of(2, 2, 1, 2));
		assertEquals(this.lines.list.size(), 2, this.lines.list.toString());
	}

}
