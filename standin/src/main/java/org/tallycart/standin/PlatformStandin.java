package org.tallycart.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for the platform's service: versioned objects, conditional updates, watches,
 * and the list of VMs.
 * <p>
 * Invariant: a conditional update takes effect only if the object has the version that
 * the update names. Thread-safe.
 *
 * @since 0.1
 */
public final class PlatformStandin implements HttpRequestHandler {

	private static final int OK = 200;

	private static final int NOT_MODIFIED = 304;

	private static final int NOT_FOUND = 404;

	private static final int PRECONDITION_FAILED = 412;

	private static final int PAYLOAD_TOO_LARGE = 413;

	private static final int MAX_VALUE_BYTES = 1 << 20;

	private final PlatformFaults faults = new PlatformFaults();

	private final Map<String, List<byte[]>> objects = new HashMap<>();

	private final List<VmListVersion> vmListVersions = new ArrayList<>();

	private final Map<String, LongAdder> calls = new ConcurrentHashMap<>();

	@Override
	public void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
			throws IOException {
		String path = JsonHttp.path(request);
		if (path.startsWith("/admin/")) {
			admin(path, request, response);
			return;
		}
		if (this.faults.isOutage()) {
			throw new IOException("injected fault: platform outage");
		}
		sleep(this.faults.delayMs());
		if (path.equals("/vms")) {
			countCall("vm-list");
			sendVmList(request, response);
		}
		else if (request.getMethod().equals("PUT")) {
			countCall("write");
			put(path, request, response);
		}
		else {
			countCall("read");
			get(path, request, response);
		}
	}

	private void countCall(String kind) {
		this.calls.computeIfAbsent(kind, (key) -> new LongAdder()).increment();
	}

	private void admin(String path, ClassicHttpRequest request, ClassicHttpResponse response) throws IOException {
		switch (path) {
			case "/admin/fault" -> this.faults.set(JsonHttp.readJson(request));
			case "/admin/vms" -> addVmList(new String(JsonHttp.body(request), StandardCharsets.UTF_8));
			case "/admin/counts" -> {
				ObjectNode counts = JsonHttp.JSON.createObjectNode();
				new TreeMap<>(this.calls).forEach((kind, adder) -> counts.put(kind, adder.sum()));
				JsonHttp.respond(response, OK, counts);
				return;
			}
			default -> {
				JsonHttp.respond(response, NOT_FOUND, "no such path");
				return;
			}
		}
		JsonHttp.respond(response, OK, "done");
	}

	private synchronized void addVmList(String text) {
		this.vmListVersions.add(new VmListVersion(System.nanoTime(), text));
	}

	private synchronized void sendVmList(ClassicHttpRequest request, ClassicHttpResponse response) {
		long lagNs = TimeUnit.MILLISECONDS.toNanos(this.faults.vmListLagMs(JsonHttp.header(request, "X-Caller")));
		long visible = this.vmListVersions.stream()
			.filter((entry) -> entry.publishedNs <= System.nanoTime() - lagNs)
			.count();
		if (visible <= queryNumber(request, "after")) {
			JsonHttp.respond(response, NOT_MODIFIED, "");
			return;
		}
		response.setHeader("ETag", "\"" + visible + "\"");
		JsonHttp.respond(response, OK, this.vmListVersions.get((int) visible - 1).text);
	}

	private synchronized void put(String name, ClassicHttpRequest request, ClassicHttpResponse response)
			throws IOException {
		byte[] value = JsonHttp.body(request);
		if (value.length > MAX_VALUE_BYTES) {
			JsonHttp.respond(response, PAYLOAD_TOO_LARGE, "the value is over " + MAX_VALUE_BYTES + " bytes");
			return;
		}
		List<byte[]> versions = this.objects.computeIfAbsent(name, (key) -> new ArrayList<>());
		String expected = JsonHttp.header(request, "If-Match").replace("\"", "");
		boolean create = JsonHttp.header(request, "If-None-Match").equals("*");
		boolean matches = create ? versions.isEmpty() : expected.equals(String.valueOf(versions.size()));
		if (!matches) {
			JsonHttp.respond(response, PRECONDITION_FAILED, "the version is " + versions.size());
			return;
		}
		versions.add(value);
		notifyAll();
		if (this.faults.takeReplyLoss()) {
			throw new IOException("injected fault: the reply to a write is dropped");
		}
		response.setHeader("ETag", "\"" + versions.size() + "\"");
		JsonHttp.respond(response, OK, "");
	}

	private void get(String name, ClassicHttpRequest request, ClassicHttpResponse response) throws IOException {
		long after = queryNumber(request, "after");
		VersionedValue found = awaitChange(name, after, queryNumber(request, "wait-ms"));
		if (this.faults.isOutage()) {
			throw new IOException("injected fault: platform outage");
		}
		if (found.version == 0) {
			JsonHttp.respond(response, NOT_FOUND, "");
		}
		else if (found.version <= after) {
			JsonHttp.respond(response, NOT_MODIFIED, "");
		}
		else {
			response.setHeader("ETag", "\"" + found.version + "\"");
			JsonHttp.respond(response, OK, new String(found.value, StandardCharsets.UTF_8));
		}
	}

	private synchronized VersionedValue awaitChange(String name, long after, long waitMs) throws IOException {
		long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
		List<byte[]> versions = this.objects.get(name);
		while ((versions == null || versions.size() <= after) && System.nanoTime() < deadlineNs
				&& !this.faults.isOutage()) {
			waitUntil(deadlineNs);
			versions = this.objects.get(name);
		}
		if (versions == null || versions.isEmpty()) {
			return new VersionedValue(0, new byte[0]);
		}
		int version = (this.faults.servesStaleReads() && versions.size() > 1) ? versions.size() - 1 : versions.size();
		return new VersionedValue(version, versions.get(version - 1));
	}

	private void waitUntil(long deadlineNs) throws IOException {
		try {
			TimeUnit.NANOSECONDS.timedWait(this,
					Math.min(deadlineNs - System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(100)));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted while handling a platform request", ex);
		}
	}

	private static long queryNumber(ClassicHttpRequest request, String key) {
		@Nullable String value = JsonHttp.query(request).get(key);
		return (value != null) ? Long.parseLong(value) : 0;
	}

	private static void sleep(long millis) throws IOException {
		if (millis <= 0) {
			return;
		}
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted while handling a platform request", ex);
		}
	}

	private record VmListVersion(long publishedNs, String text) {
	}

	private record VersionedValue(int version, byte[] value) {
	}

}
