package org.tallycart.testbed;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.UUID;

import org.tallycart.core.claim.ClaimHolder;
import org.tallycart.core.claim.ClaimTable;
import org.tallycart.core.claim.IdempotencyKey;
import org.tallycart.core.claim.IdempotencyKeyWindow;
import org.tallycart.core.claim.SlotMap;
import org.tallycart.core.declaration.BalancerKind;
import org.tallycart.core.declaration.DeclarationReader;
import org.tallycart.core.declaration.PolicySource;
import org.tallycart.core.declaration.Service;
import org.tallycart.core.declaration.StageKind;
import org.tallycart.core.declaration.Upstream;
import org.tallycart.core.ini.Address;
import org.tallycart.core.ini.IniParser;
import org.tallycart.core.policy.Policy;
import org.tallycart.core.policy.RequestFacts;
import org.tallycart.core.policy.UpstreamFacts;
import org.tallycart.core.routing.TwoChoicesBalancer;
import org.tallycart.core.routing.UpstreamTable;
import org.tallycart.core.serving.LoadReport;
import org.tallycart.core.serving.Prompt;
import org.tallycart.core.serving.PromptPart;
import org.tallycart.core.serving.UpstreamEntry;
import org.tallycart.core.upstream.EngineChooser;
import org.tallycart.core.upstream.PromptCost;
import org.tallycart.core.upstream.UpstreamDirectory;
import org.tallycart.core.upstream.UpstreamState;
import org.tallycart.policy.CelPolicyCompiler;

/**
 * In-process benchmark of the core: claims, slot map, declarations, routing and policies.
 * Each time is the best of several rounds.
 * <p>
 * Thread-safe: stateless.
 *
 * @since 0.1
 */
final class CoreBenchmark {

	private static final int ROUNDS = 3;

	private static final long KEY_CREATED_MS = 1_000_000_000_000L;

	private static final long NANOS_PER_MS = 1_000_000;

	private CoreBenchmark() {
	}

	static void print(PrintStream out) {
		out.println("claims kept, ns a claim, bytes a claim");
		for (int count : new int[] { 10_000, 100_000, 400_000 }) {
			measureClaims(out, count);
		}
		out.println("slots, owners, slot map bytes, us to encode and decode");
		for (int slots : new int[] { 64, 1_024, 4_096 }) {
			measureSlotMap(out, slots);
		}
		out.println("workspaces, declaration bytes, ms to read, bytes kept");
		for (int count : new int[] { 1_000, 4_000, 11_000 }) {
			measureDeclarations(out, count);
		}
		out.println("upstreams of a service, ns a routing decision");
		for (int count : new int[] { 10, 100, 1_000 }) {
			measureRouting(out, count);
		}
		out.println("engines of a service, ns to list the candidates and choose one");
		for (int count : new int[] { 98, 1_000 }) {
			measureEngineChoice(out, count);
		}
		measurePolicy(out);
	}

	private static long threadCpuNs() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

	private static long usedHeapBytes() {
		for (int i = 0; i < ROUNDS; i++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	private static void measureClaims(PrintStream out, int count) {
		long bestNs = Long.MAX_VALUE;
		long bytesPerClaim = 0;
		for (int round = 0; round < ROUNDS; round++) {
			List<IdempotencyKey> keys = new ArrayList<>();
			Random random = new Random(round);
			for (int i = 0; i < count; i++) {
				UUID uuid = new UUID((KEY_CREATED_MS + i / 100 << 16) | 0x7000, random.nextLong());
				keys.add(IdempotencyKey.parse(uuid.toString()).get());
			}
			ClaimTable table = ClaimTable.create("vm", 1, new IdempotencyKeyWindow(600_000, 1_000));
			table.applySlotMap(SlotMap.empty(1).assign(List.of(0), "vm", 1, false), KEY_CREATED_MS);
			long bytesBefore = usedHeapBytes();
			long startNs = threadCpuNs();
			for (int i = 0; i < count; i++) {
				table.claim(keys.get(i), new ClaimHolder("vm-7", "attempt-" + i), 1, KEY_CREATED_MS + i / 100);
			}
			bestNs = Math.min(bestNs, (threadCpuNs() - startNs) / count);
			bytesPerClaim = (usedHeapBytes() - bytesBefore) / count;
			if (table.size() != count) {
				throw new IllegalStateException("claims are missing from the table");
			}
		}
		out.printf("%9d %6d %6d%n", count, bestNs, bytesPerClaim);
	}

	private static void measureSlotMap(PrintStream out, int slots) {
		SlotMap map = SlotMap.empty(slots);
		for (int slot = 0; slot < slots; slot++) {
			map = map.assign(List.of(slot), "vm-" + slot % 2_000, 1_796_000_000_000L, false);
		}
		long bestNs = Long.MAX_VALUE;
		String text = "";
		for (int round = 0; round < 50; round++) {
			long startNs = threadCpuNs();
			text = map.encode();
			SlotMap.decode(text);
			bestNs = Math.min(bestNs, threadCpuNs() - startNs);
		}
		out.printf("%6d %6d %8d %8d%n", slots, Math.min(slots, 2_000), text.length(), bestNs / 1_000);
	}

	private static void measureDeclarations(PrintStream out, int count) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < count; i++) {
			text.append("[workspace shop-").append(i).append("]\nrequests-per-second = 20\nweight = 1\n\n");
		}
		long bestNs = Long.MAX_VALUE;
		long retainedBytes = 0;
		for (int round = 0; round < ROUNDS; round++) {
			long bytesBefore = usedHeapBytes();
			long startNs = threadCpuNs();
			Object declarations = DeclarationReader.read(IniParser.read("all.ini", text.toString(), new ArrayList<>()),
					(section, source) -> List.of());
			bestNs = Math.min(bestNs, threadCpuNs() - startNs);
			retainedBytes = usedHeapBytes() - bytesBefore;
			Reference.reachabilityFence(declarations);
		}
		out.printf("%7d %9d %6d %9d%n", count, text.length(), bestNs / NANOS_PER_MS, retainedBytes);
	}

	private static void measureRouting(PrintStream out, int count) {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			upstreams.add(new Upstream("u" + i, new Address("10.0.0.1", 1 + i), "lac", 8));
		}
		UpstreamTable table = UpstreamTable.create("vm", "lac", count);
		table.update(
				List.of(new Service("s", StageKind.ENCODE, "", "", 1, 0, BalancerKind.TWO_CHOICES_AGED, upstreams)));
		TwoChoicesBalancer balancer = TwoChoicesBalancer.withAgeDiscount(1_000);
		Random random = new Random(1);
		int decisions = 2_000_000 / count;
		long bestNs = Long.MAX_VALUE;
		for (int round = 0; round < ROUNDS; round++) {
			long startNs = threadCpuNs();
			for (int i = 0; i < decisions; i++) {
				String id = balancer.choose(table.candidates("s", Set.of(), i), random::nextInt).upstream().id();
				table.onStart(id);
				table.onSuccess("s", id, 1, 10, i);
			}
			bestNs = Math.min(bestNs, (threadCpuNs() - startNs) / decisions);
		}
		out.printf("%6d %8d%n", count, bestNs);
	}

	private static void measureEngineChoice(PrintStream out, int count) {
		UpstreamDirectory directory = new UpstreamDirectory();
		List<UpstreamEntry> entries = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			entries.add(UpstreamEntry.builder("i-" + Integer.toHexString(i * 0x9E3779B1), "chat")
				.location(new Address("10.0.0.1", 1 + i), "d" + i % 3)
				.slots(24)
				.build());
		}
		directory.replace(entries, 0);
		List<Prompt> prompts = new ArrayList<>();
		for (int i = 0; i < 1_024; i++) {
			prompts.add(new Prompt("m", 9_000, List.of(new PromptPart("shared-" + i % 8, 2_500),
					new PromptPart("session-" + i, 3_800), new PromptPart("own-" + i, 2_700))));
		}
		Random random = new Random(1);
		int choices = 4_000_000 / count;
		long bestNs = Long.MAX_VALUE;
		for (int round = 0; round < ROUNDS; round++) {
			long startNs = threadCpuNs();
			for (int i = 0; i < choices; i++) {
				UpstreamState engine = EngineChooser
					.choose(prompts.get(i % prompts.size()), PromptCost.INITIAL, directory.candidates("chat", i / 100),
							i / 100, random::nextInt)
					.orElseThrow()
					.upstream();
				engine.onSend(30);
				engine.onPrefillDone(30);
				engine.onReport(new LoadReport(3, 0, 24), i / 100);
			}
			bestNs = Math.min(bestNs, (threadCpuNs() - startNs) / choices);
		}
		out.printf("%6d %8d%n", count, bestNs);
	}

	private static void measurePolicy(PrintStream out) {
		Policy policy = CelPolicyCompiler.create()
			.compile(new PolicySource("p", "request.workspace != 'blocked'",
					"request.label == 'courier' ? 30 : request.label == 'clerk' ? 20 : 10",
					"upstream.domain == 'kennedy' ? 100.0 : 0.0", "", false), (id, rule, message) -> {
					});
		RequestFacts facts = new RequestFacts("shop-1", "assistant", "clerk", true, 4_000, 32);
		UpstreamFacts upstream = new UpstreamFacts("g1", "lac", true, 1, 2, 300, 4);
		int evaluations = 200_000;
		long bestNs = Long.MAX_VALUE;
		for (int round = 0; round < ROUNDS; round++) {
			long startNs = threadCpuNs();
			for (int i = 0; i < evaluations; i++) {
				policy.admit(facts);
				policy.priority(facts);
				policy.place(facts, upstream);
			}
			bestNs = Math.min(bestNs, (threadCpuNs() - startNs) / (3L * evaluations));
		}
		out.println("ns a policy rule: " + bestNs);
	}

}
