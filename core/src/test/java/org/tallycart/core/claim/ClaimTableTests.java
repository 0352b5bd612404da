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

	private static final ClaimHolder ALICE = new ClaimHolder("vm-1", "a");

	private static final ClaimHolder BOB = new ClaimHolder("vm-2", "b");

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
	void theFirstClaimWinsAndALaterOneIsToldWhoHolds() {
		ClaimTable table = owner(ownedMap());
		assertEquals(table.claim(key(NOW), ALICE, 1, NOW).status(), Status.GRANTED);
		ClaimReply second = table.claim(key(NOW), BOB, 1, NOW);
		assertEquals(second.status(), Status.HELD);
		assertEquals(second.holder(), ALICE);
	}

	@Test
	void theSameAttemptMayAskAgainAfterALostAnswer() {
		ClaimTable table = owner(ownedMap());
		table.claim(key(NOW), ALICE, 1, NOW);
		assertEquals(table.claim(key(NOW), ALICE, 1, NOW).status(), Status.GRANTED);
	}

	@Test
	void aFinishedKeyGivesItsResultToEveryLaterAsker() {
		ClaimTable table = owner(ownedMap());
		table.claim(key(NOW), ALICE, 1, NOW);
		assertFalse(table.finish(key(NOW), BOB, new byte[] { 1 }));
		assertTrue(table.finish(key(NOW), ALICE, new byte[] { 7 }));
		ClaimReply reply = table.claim(key(NOW), BOB, 1, NOW);
		assertEquals(reply.status(), Status.FINISHED);
		assertEquals(reply.result(), new byte[] { 7 });
		assertFalse(table.release(key(NOW), ALICE), "a finished key is never released");
	}

	@Test
	void anOwnerThatHearsOfAHigherTermGrantsNothingAgain() {
		ClaimTable table = owner(ownedMap());
		assertEquals(table.claim(key(NOW), ALICE, 2, NOW).status(), Status.NOT_OWNER);
		assertEquals(table.claim(key(NOW), ALICE, 1, NOW).status(), Status.NOT_OWNER);
	}

	@DataProvider
	Object[][] agesAfterTakeover() {
		return new Object[][] { { -50, Status.BEFORE_TAKEOVER }, { 0, Status.BEFORE_TAKEOVER },
				{ 200, Status.BEFORE_TAKEOVER }, { 201, Status.GRANTED } };
	}

	@Test(dataProvider = "agesAfterTakeover")
	void afterATakeoverOnlyKeysThatTheEarlierOwnerCannotHaveGrantedAreGranted(long createdAfter, Status expected) {
		SlotMap taken = SlotMap.empty(1).assign(List.of(0), "vm-9", 1, false).assign(List.of(0), "vm-1", 1, false);
		assertEquals(owner(taken).claim(key(NOW + createdAfter), ALICE, 2, NOW + createdAfter).status(), expected);
	}

	@Test
	void aHandoverBringsTheClaimsAlong() {
		ClaimTable from = owner(ownedMap());
		from.claim(key(NOW), ALICE, 1, NOW);
		ClaimTable to = ClaimTable.create("vm-2", 5, WINDOW);
		from.seal(List.of(0)).forEach(to::stage);
		assertEquals(from.claim(key(NOW + 1), BOB, 1, NOW).status(), Status.NOT_OWNER);
		assertEquals(to.claim(key(NOW), BOB, 1, NOW).status(), Status.NOT_OWNER);
		to.applySlotMap(ownedMap().assign(List.of(0), "vm-2", 5, true), NOW);
		assertEquals(to.claim(key(NOW), BOB, 2, NOW).status(), Status.HELD);
		assertEquals(to.claim(key(NOW + 1), BOB, 2, NOW).status(), Status.GRANTED);
	}

	@Test
	void stagedClaimsOfAHandoverThatDidNotHappenAreNeverTrusted() {
		ClaimTable from = owner(ownedMap());
		ClaimTable to = ClaimTable.create("vm-2", 5, WINDOW);
		from.seal(List.of(0)).forEach(to::stage);
		from.unseal(List.of(0));
		from.claim(key(NOW), ALICE, 1, NOW);
		to.applySlotMap(ownedMap().assign(List.of(0), "vm-2", 5, false), NOW);
		assertEquals(to.claim(key(NOW), BOB, 2, NOW).status(), Status.BEFORE_TAKEOVER);
	}

	@Test
	void aHandoverCallThatComesLateChangesNothing() {
		ClaimTable to = ClaimTable.create("vm-2", 5, WINDOW);
		ClaimRecord claim = new ClaimRecord(key(NOW), ALICE, null);
		assertTrue(to.stage(new SlotHandover(0, 2, Long.MIN_VALUE, 2, List.of(claim))));
		assertFalse(to.stage(new SlotHandover(0, 2, Long.MIN_VALUE, 1, List.of())));
		to.applySlotMap(ownedMap().assign(List.of(0), "vm-2", 5, true), NOW);
		assertEquals(to.claim(key(NOW), BOB, 2, NOW).status(), Status.HELD);
	}

	@Test
	void claimsStagedBeforeAnySlotMapIsKnownCanGrowOld() {
		ClaimTable to = ClaimTable.create("vm-2", 5, WINDOW);
		to.stage(new SlotHandover(0, 2, Long.MIN_VALUE, 1, List.of(new ClaimRecord(key(NOW), ALICE, null))));
		to.expire(NOW + 1_000_000);
		assertEquals(to.size(), 0);
	}

	@Test
	void anExpiredClaimIsKeptUntilEveryClockRefusesItsKey() {
		ClaimTable table = owner(ownedMap());
		table.claim(key(NOW), ALICE, 1, NOW);
		long late = NOW + WINDOW.retentionMs() + 2 * WINDOW.skewMs();
		table.expire(late);
		assertEquals(table.claim(key(NOW), BOB, 1, late - 2 * WINDOW.skewMs()).status(), Status.HELD);
		table.expire(late + 1);
		assertEquals(table.claim(key(NOW), BOB, 1, late + 1).status(), Status.EXPIRED);
	}

	@DataProvider
	Object[][] keyAges() {
		return new Object[][] { { 10_001, Outcome.UNKNOWN }, { -101, Outcome.UNKNOWN }, { -201, Outcome.NOT_RUN } };
	}

	@Test(dataProvider = "keyAges")
	void aKeyOutsideTheWindowIsNotRunOnlyIfNoClockCanHaveAcceptedIt(long age, Outcome expected) {
		RequestResult ending = WINDOW.check(key(NOW - age), NOW).orElseThrow();
		assertEquals(ending.outcome(), expected);
		assertTrue(WINDOW.check(key(NOW), NOW).isEmpty());
	}

	@Test
	void aSlotMapReadsBackAsItWasWritten() {
		SlotMap map = SlotMap.empty(8)
			.assign(List.of(0, 1, 2, 5), "vm-1", 3, false)
			.assign(List.of(1), "vm-2", 4, true);
		SlotMap read = SlotMap.decode(map.encode()).get();
		assertEquals(read.encode(), map.encode());
		assertEquals(read.owner(1), new SlotOwner("vm-2", 4, 2, true));
		assertTrue(SlotMap.decode("slots x").isLeft());
	}

}
