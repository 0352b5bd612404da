package org.tallycart.core.claim;

import java.util.List;
import java.util.UUID;

import org.tallycart.core.claim.ClaimReply.Status;
import org.tallycart.core.outcome.Outcome;
import org.tallycart.core.outcome.RequestResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for {@link ClaimTable}, {@link IdempotencyKeyWindow} and {@link SlotMap}.
 */
public class ClaimTableTests {

	private static final IdempotencyKeyWindow WINDOW = new IdempotencyKeyWindow(10_000, 100);

	private static final ClaimHolder FIRST_HOLDER = new ClaimHolder("vm-1", "a");

	private static final ClaimHolder SECOND_HOLDER = new ClaimHolder("vm-2", "b");

	private static final long NOW = 1_000_000;

	private static IdempotencyKey key(long createdMs) {
		UUID uuid = new UUID((createdMs << 16) | 0x7001, 42);
		return IdempotencyKey.parse(uuid.toString()).get();
	}

	private static ClaimTable owner(SlotMap map) {
		ClaimTable table = ClaimTable.create("vm-1", 1, WINDOW);
		table.applySlotMap(map, NOW);
		return table;
	}

	private static SlotMap ownedMap() {
		return SlotMap.empty(1).assign(List.of(0), "vm-1", 1, false);
	}

	@Test
	void firstClaimIsGrantedAndLaterClaimReturnsTheHolder() {
		ClaimTable table = owner(ownedMap());
		assertEquals(table.claim(key(NOW), FIRST_HOLDER, 1, NOW).status(), Status.GRANTED);
		ClaimReply second = table.claim(key(NOW), SECOND_HOLDER, 1, NOW);
		assertEquals(second.status(), Status.HELD);
		assertEquals(second.holder(), FIRST_HOLDER);
	}

	@Test
	void repeatedClaimOfTheSameAttemptIsGranted() {
		ClaimTable table = owner(ownedMap());
		table.claim(key(NOW), FIRST_HOLDER, 1, NOW);
		assertEquals(table.claim(key(NOW), FIRST_HOLDER, 1, NOW).status(), Status.GRANTED);
	}

	@Test
	void finishedKeyReturnsItsResultToLaterClaimants() {
		ClaimTable table = owner(ownedMap());
		table.claim(key(NOW), FIRST_HOLDER, 1, NOW);
		assertFalse(table.finish(key(NOW), SECOND_HOLDER, new byte[] { 1 }));
		assertTrue(table.finish(key(NOW), FIRST_HOLDER, new byte[] { 7 }));
		ClaimReply reply = table.claim(key(NOW), SECOND_HOLDER, 1, NOW);
		assertEquals(reply.status(), Status.FINISHED);
		assertEquals(reply.result(), new byte[] { 7 });
		assertFalse(table.release(key(NOW), FIRST_HOLDER), "a finished key is never released");
	}

	@Test
	void ownerThatReceivesAHigherTermGrantsNoMoreClaims() {
		ClaimTable table = owner(ownedMap());
		assertEquals(table.claim(key(NOW), FIRST_HOLDER, 2, NOW).status(), Status.NOT_OWNER);
		assertEquals(table.claim(key(NOW), FIRST_HOLDER, 1, NOW).status(), Status.NOT_OWNER);
	}

	@DataProvider
	Object[][] agesAfterTakeover() {
		return new Object[][] { { -50, Status.BEFORE_TAKEOVER }, { 0, Status.BEFORE_TAKEOVER },
				{ 200, Status.BEFORE_TAKEOVER }, { 201, Status.GRANTED } };
	}

	@Test(dataProvider = "agesAfterTakeover")
	void takeoverRefusesKeysThatThePreviousOwnerMayHaveGranted(long createdAfter, Status expected) {
		SlotMap map = SlotMap.empty(1).assign(List.of(0), "vm-9", 1, false).assign(List.of(0), "vm-1", 1, false);
		assertEquals(owner(map).claim(key(NOW + createdAfter), FIRST_HOLDER, 2, NOW + createdAfter).status(), expected);
	}

	@Test
	void handoverTransfersTheClaims() {
		ClaimTable from = owner(ownedMap());
		from.claim(key(NOW), FIRST_HOLDER, 1, NOW);
		ClaimTable to = ClaimTable.create("vm-2", 5, WINDOW);
		from.seal(List.of(0)).forEach(to::stage);
		assertEquals(from.claim(key(NOW + 1), SECOND_HOLDER, 1, NOW).status(), Status.NOT_OWNER);
		assertEquals(to.claim(key(NOW), SECOND_HOLDER, 1, NOW).status(), Status.NOT_OWNER);
		to.applySlotMap(ownedMap().assign(List.of(0), "vm-2", 5, true), NOW);
		assertEquals(to.claim(key(NOW), SECOND_HOLDER, 2, NOW).status(), Status.HELD);
		assertEquals(to.claim(key(NOW + 1), SECOND_HOLDER, 2, NOW).status(), Status.GRANTED);
	}

	@Test
	void stagedClaimsOfARejectedHandoverAreDiscarded() {
		ClaimTable from = owner(ownedMap());
		ClaimTable to = ClaimTable.create("vm-2", 5, WINDOW);
		from.seal(List.of(0)).forEach(to::stage);
		from.unseal(List.of(0));
		from.claim(key(NOW), FIRST_HOLDER, 1, NOW);
		to.applySlotMap(ownedMap().assign(List.of(0), "vm-2", 5, false), NOW);
		assertEquals(to.claim(key(NOW), SECOND_HOLDER, 2, NOW).status(), Status.BEFORE_TAKEOVER);
	}

	@Test
	void lateHandoverCallIsIgnored() {
		ClaimTable to = ClaimTable.create("vm-2", 5, WINDOW);
		ClaimRecord claim = new ClaimRecord(key(NOW), FIRST_HOLDER, null);
		assertTrue(to.stage(new SlotHandover(0, 2, Long.MIN_VALUE, 2, List.of(claim))));
		assertFalse(to.stage(new SlotHandover(0, 2, Long.MIN_VALUE, 1, List.of())));
		to.applySlotMap(ownedMap().assign(List.of(0), "vm-2", 5, true), NOW);
		assertEquals(to.claim(key(NOW), SECOND_HOLDER, 2, NOW).status(), Status.HELD);
	}

	@Test
	void claimsStagedBeforeTheFirstSlotMapCanExpire() {
		ClaimTable to = ClaimTable.create("vm-2", 5, WINDOW);
		to.stage(new SlotHandover(0, 2, Long.MIN_VALUE, 1, List.of(new ClaimRecord(key(NOW), FIRST_HOLDER, null))));
		to.expire(NOW + 1_000_000);
		assertEquals(to.size(), 0);
	}

	@Test
	void claimIsRetainedUntilEveryClockRefusesItsKey() {
		ClaimTable table = owner(ownedMap());
		table.claim(key(NOW), FIRST_HOLDER, 1, NOW);
		long late = NOW + WINDOW.retentionMs() + 2 * WINDOW.skewMs();
		table.expire(late);
		assertEquals(table.claim(key(NOW), SECOND_HOLDER, 1, late - 2 * WINDOW.skewMs()).status(), Status.HELD);
		table.expire(late + 1);
		assertEquals(table.claim(key(NOW), SECOND_HOLDER, 1, late + 1).status(), Status.EXPIRED);
	}

	@DataProvider
	Object[][] keyAges() {
		return new Object[][] { { 10_001, Outcome.UNKNOWN }, { -101, Outcome.UNKNOWN }, { -201, Outcome.NOT_RUN } };
	}

	@Test(dataProvider = "keyAges")
	void keyOutsideTheWindowIsNotRunOnlyIfNoClockCanHaveAcceptedIt(long age, Outcome expected) {
		RequestResult result = WINDOW.check(key(NOW - age), NOW).orElseThrow();
		assertEquals(result.outcome(), expected);
		assertTrue(WINDOW.check(key(NOW), NOW).isEmpty());
	}

	@Test
	void slotMapEncodingRoundTrips() {
		SlotMap map = SlotMap.empty(8)
			.assign(List.of(0, 1, 2, 5), "vm-1", 3, false)
			.assign(List.of(1), "vm-2", 4, true);
		SlotMap read = SlotMap.decode(map.encode()).get();
		assertEquals(read.encode(), map.encode());
		assertEquals(read.owner(1), new SlotOwner("vm-2", 4, 2, true));
		assertTrue(SlotMap.decode("slots x").isLeft());
	}

}
