package org.tallycart.integration.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The events of one stream that a caller has received, over all its requests for it.
 * <p>
 * Not thread-safe: belongs to one caller.
 */
final class ReceivedStream {

	/** Number of events of a whole stream. */
	private static final int EVENTS = 4;

	private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+) (\\S+)\n\n");

	private final String begunBy;

	private final Set<String> versions = new HashSet<>();

	private int events;

	private String problem = "";

	ReceivedStream(String begunBy) {
		this.begunBy = begunBy;
	}

	String begunBy() {
		return this.begunBy;
	}

	int eventCount() {
		return this.events;
	}

	boolean isComplete() {
		return this.events == EVENTS && this.problem.isEmpty();
	}

	/**
	 * Return what is wrong with the events so far.
	 * @return the problem; empty if there is none
	 */
	Optional<String> problem() {
		return this.problem.isEmpty() ? Optional.empty() : Optional.of(this.problem);
	}

	/**
	 * Read the response to one request. An event that is cut off is dropped.
	 * @param body the body of the response
	 * @param request the id of the request
	 * @return whether the body is complete
	 */
	boolean read(InputStream body, String request) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		boolean whole = readAll(body, bytes);
		String text = bytes.toString(StandardCharsets.UTF_8);
		Matcher event = EVENT.matcher(text);
		int end = 0;
		while (event.lookingAt()) {
			add(Integer.parseInt(event.group(1)), event.group(2), event.group(3), request);
			end = event.end();
			event.region(end, text.length());
		}
		if (whole && end < text.length()) {
			this.problem = "ends within an event: " + text;
		}
		return whole;
	}

	private static boolean readAll(InputStream body, ByteArrayOutputStream bytes) {
		try (body) {
			body.transferTo(bytes);
			return true;
		}
		catch (IOException ex) {
			// The response was broken off; what was received until then counts.
			return false;
		}
	}

	private void add(int number, String owner, String version, String request) {
		this.versions.add(version);
		if (number != this.events + 1) {
			this.problem = "event " + number + " after event " + this.events;
		}
		if (!owner.equals(request)) {
			this.problem = "event of " + owner;
		}
		if (this.versions.size() > 1) {
			this.problem = "events of software versions " + this.versions;
		}
		this.events = number;
	}

}
