package org.tallycart.core.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.tallycart.core.fleet.VmRecord;
import org.tallycart.core.ini.Address;
import org.tallycart.core.stream.StreamOriginRegistry.LookupSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link StreamOriginRegistry} at one VM of six.
 */
public class StreamOriginRegistryTests {

	private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1");

	private static final List<VmRecord> RECORDS = IntStream.range(0, 6)
		.mapToObj((i) -> new VmRecord("vm-" + i, new Address("10.0.0.1", i + 1), "d" + i % 4, 1))
		.toList();

	private final List<String> toldVms = new ArrayList<>();

	private final List<String> askedVms = new ArrayList<>();

	private final List<String> results = new ArrayList<>();

	private Optional<String> onlyVersion = Optional.empty();

	private Optional<String> confirmedVersion = Optional.empty();

	private StreamOriginRegistry registry = create();

	@BeforeMethod
	void setUp() {
		this.toldVms.clear();
		this.askedVms.clear();
		this.results.clear();
		this.onlyVersion = Optional.empty();
		this.confirmedVersion = Optional.empty();
		this.registry = create();
		this.registry.updateVms(RECORDS);
	}

	private StreamOriginRegistry create() {
		return new StreamOriginRegistry("vm-0", new Peers(), new Versions());
	}

	private void find(String id) {
		this.registry.find(id, "s", 0, (origin, source) -> this.results
			.add(origin.map(StreamOrigin::softwareVersion).orElse("?") + " " + source));
	}

	@Test
	void aStreamIsToldToVmsOfDifferentFailureDomains() {
		for (int i = 0; i < 50; i++) {
			this.toldVms.clear();
			this.registry.onBegun("r" + i, ORIGIN, 0, 0);
			long domains = RECORDS.stream()
				.filter((record) -> this.toldVms.contains(record.vm()))
				.map(VmRecord::failureDomain)
				.distinct()
				.count();
			assertTrue(this.toldVms.size() >= 3 && domains == this.toldVms.size(), this.toldVms.toString());
		}
	}

	// Guards against streams that nobody is told since they began before the other VMs
	// were known.
	@Test
	void aStreamIsToldOnceTheOtherVmsAreKnown() {
		this.registry = create();
		this.registry.onBegun("r", ORIGIN, 0, 0);
		assertEquals(this.toldVms, List.of());
		this.registry.updateVms(RECORDS);
		this.registry.tick(100);
		assertTrue(this.toldVms.size() >= 3, this.toldVms.toString());
	}

	// Guards against streams that only their own VM knows, since the records of the
	// others
	// came after they began.
	@Test
	void aStreamIsToldToVmsThatAreKnownLater() {
		this.registry = create();
		this.registry.updateVms(RECORDS.subList(0, 1));
		this.registry.onBegun("r", ORIGIN, 0, 0);
		this.registry.tick(100);
		assertEquals(this.toldVms, List.of());
		this.registry.updateVms(RECORDS);
		this.registry.tick(200);
		int told = this.toldVms.size();
		this.registry.updateVms(RECORDS);
		this.registry.tick(300);
		assertTrue(told >= 3, this.toldVms.toString());
		assertEquals(this.toldVms.size(), told, "told once");
	}

	@Test
	void aStreamIsToldOnceItsVersionIsNoLongerTheOnlyOne() {
		this.onlyVersion = Optional.of("v1");
		this.registry.onBegun("r", ORIGIN, 0, 0);
		this.registry.tick(1_000);
		assertEquals(this.toldVms, List.of());
		this.onlyVersion = Optional.empty();
		this.registry.tick(2_000);
		int told = this.toldVms.size();
		this.registry.tick(3_000);
		assertTrue(told >= 3, this.toldVms.toString());
		assertEquals(this.toldVms.size(), told, "told once");
	}

	@Test
	void theFirstVmThatKnowsDecides() {
		find("r");
		this.registry.onReply(this.askedVms.get(0), 1, Optional.empty(), 1);
		this.registry.onReply(this.askedVms.get(1), 1, Optional.of(ORIGIN), 2);
		this.registry.onReply(this.askedVms.get(2), 1, Optional.of(new StreamOrigin("s", "v9")), 3);
		this.registry.expireLookups(1_000);
		assertEquals(this.results, List.of("v1 " + LookupSource.OTHER_VM));
	}

	// Guards against answers that are doubled, or come from VMs that were not asked.
	@Test
	void onlyAnswersOfVmsThatWereAskedCount() {
		this.onlyVersion = Optional.of("v1");
		find("r");
		this.registry.onReply("vm-0", 1, Optional.of(ORIGIN), 1);
		this.registry.onReply(this.askedVms.get(0), 9, Optional.of(ORIGIN), 1);
		for (int i = 0; i < 9; i++) {
			this.registry.onReply(this.askedVms.get(0), 1, Optional.empty(), 1);
		}
		assertEquals(this.results, List.of());
	}

	// Guards against a VM that is cut off and infers the version from an old list.
	@Test
	void withoutAnyAnswerTheStoreHasToConfirmTheOnlyVersion() {
		this.onlyVersion = Optional.of("v1");
		find("r");
		this.registry.expireLookups(StreamOriginRegistry.LOOKUP_TIMEOUT_MS);
		this.confirmedVersion = Optional.of("v1");
		find("r");
		this.registry.expireLookups(StreamOriginRegistry.LOOKUP_TIMEOUT_MS);
		assertEquals(this.results, List.of("? " + LookupSource.NONE, "v1 " + LookupSource.ONLY_VERSION));
	}

	// Guards against a VM that is cut off from those that know the stream, and is
	// answered by one that has just started.
	@Test
	void withoutAllAnswersTheStoreHasToConfirmTheOnlyVersion() {
		this.onlyVersion = Optional.of("v1");
		find("r");
		this.registry.onReply(this.askedVms.get(0), 1, Optional.empty(), 1);
		this.registry.expireLookups(StreamOriginRegistry.LOOKUP_TIMEOUT_MS);
		assertEquals(this.results, List.of("? " + LookupSource.NONE));
	}

	@Test
	void anOriginIsKeptForItsTimeOnly() {
		this.registry.onOrigins(List.of(new BegunStream("r", ORIGIN, 500)), 0);
		find("r");
		this.registry.tick(500);
		assertEquals(this.results, List.of("v1 " + LookupSource.THIS_VM));
		assertEquals(this.registry.size(), 0);
	}

	@Test
	void theNumberOfKeptOriginsIsLimited() {
		for (int i = 0; i < StreamOriginTable.MAX_STREAMS + 10; i++) {
			this.registry.onOrigins(List.of(new BegunStream("r" + i, ORIGIN, 60_000)), 0);
		}
		find("r9");
		assertEquals(this.registry.size(), StreamOriginTable.MAX_STREAMS);
		assertTrue(this.askedVms.size() >= 3, "the oldest are dropped");
	}

	/** Records the VMs that messages are sent to. */
	private final class Peers implements StreamOriginPeers {

		@Override
		public void sendOrigins(String vm, List<BegunStream> streams) {
			StreamOriginRegistryTests.this.toldVms.add(vm);
		}

		@Override
		public void sendQuery(String vm, long number, String id) {
			StreamOriginRegistryTests.this.askedVms.add(vm);
		}

		@Override
		public void sendReply(String vm, long number, Optional<StreamOrigin> origin) {
			throw new IllegalStateException("nobody asked");
		}

	}

	/** Returns what a test has set. */
	private final class Versions implements ServedVersions {

		@Override
		public Optional<String> onlyVersion(String service, long nowMs) {
			return StreamOriginRegistryTests.this.onlyVersion;
		}

		@Override
		public void findOnlyVersion(String service, boolean confirm, long nowMs, Consumer<Optional<String>> consumer) {
			consumer.accept(confirm ? StreamOriginRegistryTests.this.confirmedVersion
					: StreamOriginRegistryTests.this.onlyVersion);
		}

	}

}
