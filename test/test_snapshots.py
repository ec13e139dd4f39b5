"""Tests listings, and their way from the store reader to all routers."""

from __future__ import annotations

import collections
import json
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from agatedock.decisions import polling
from agatedock.peers import snapshots
from agatedock_platform import entries
from test import helper

helper.load_profile()

KEYS = "abcdef"


class StoreSimulation:
    """A store with revisions, and routers that read it or query a peer."""

    def __init__(self, count: int):
        self.now = 0.0
        self.revision = 0
        self.items: dict[str, snapshots.Item] = {}
        self.listings = [snapshots.Listing() for _ in range(count)]
        # Revisions by key, from the changes that each listing returned.
        self.views: list[dict[str, int]] = [{} for _ in range(count)]

    def write(self, key: str) -> None:
        self.revision += 1
        value = str(self.revision).encode()
        self.items[key] = snapshots.Item(
            key, value, self.revision, self.revision
        )

    def remove(self, key: str) -> None:
        if key in self.items:
            self.revision += 1
            del self.items[key]

    def read(self, router: int, change: str = "") -> None:
        """Reads the store in two pages.

        Args:
          router: Index of the router that reads.
          change: Key that is removed or written between the pages, if any.
        """
        self.now += 1
        begin = self.revision
        first = [i for k, i in self.items.items() if k < "d"]
        if change in self.items:
            self.remove(change)
        elif change:
            self.write(change)
        second = [i for k, i in self.items.items() if k >= "d"]
        snapshot = snapshots.Snapshot(
            "store", begin, self.revision, first + second
        )
        self._apply(
            router, self.listings[router].load_snapshot(snapshot, self.now)
        )

    def query(self, requester: int, peer: int) -> snapshots.Delta:
        """Queries a peer and applies its delta, as `followers.Follower` does.

        Args:
          requester: Index of the router that sends the query.
          peer: Index of the router that replies.
        """
        listing = self.listings[requester]
        delta = self.listings[peer].make_delta(listing.position, self.now)
        read_at = self.now - delta.age_s
        if read_at > listing.read_at or listing.diverged:
            self._apply(requester, listing.apply_delta(delta, read_at))
        return delta

    def _apply(self, router: int, changes: snapshots.Changes) -> None:
        view = self.views[router]
        for key in changes.removed_keys:
            del view[key]
        for item in changes.items:
            view[item.key] = item.revision


def get_revisions(listing: snapshots.Listing) -> dict[str, int]:
    """Returns the revisions of a listing by key."""
    return {item.key: item.revision for item in listing.list_items()}


_KEY = strategies.sampled_from(KEYS)
_ROUTER = strategies.integers(0, 3)
_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("write"), _KEY),
        strategies.tuples(strategies.just("remove"), _KEY),
        strategies.tuples(strategies.just("read"), _ROUTER, _KEY),
        strategies.tuples(strategies.just("query"), _ROUTER, _ROUTER),
    ),
    max_size=40,
)


class ListingTest(unittest.TestCase):
    """Local copies of the listing of one store."""

    @hypothesis.given(_STEPS)
    def test_any_reads_and_queries_yield_the_stores_listing(self, steps):
        """Routers read the store and query each other in any order."""
        simulation = StoreSimulation(4)
        for name, *arguments in steps:
            getattr(simulation, name)(*arguments)
        for router in (1, 2, 3):
            # After a divergence the second delta is a full one.
            for _ in range(2):
                simulation.read(0)
                simulation.query(router, 0)
            self.assertFalse(simulation.listings[router].diverged)
            self.assertEqual(
                get_revisions(simulation.listings[router]),
                get_revisions(simulation.listings[0]),
            )
        for listing, view in zip(
            simulation.listings, simulation.views, strict=True
        ):
            self.assertEqual(get_revisions(listing), view)

    def test_delta_of_an_unchanged_listing_is_empty(self):
        simulation = StoreSimulation(2)
        simulation.write("a")
        simulation.read(0)
        simulation.query(1, 0)
        simulation.read(0)
        delta = simulation.query(1, 0)
        self.assertEqual((delta.items, delta.removals), ([], []))

    def test_delta_of_another_parent_has_only_new_changes(self):
        """Change numbers are the store's, so they hold at every peer."""
        simulation = StoreSimulation(4)
        for key in KEYS:
            simulation.write(key)
        simulation.read(0)
        for router in (1, 2, 3):
            simulation.query(router, 0)
        simulation.write("a")
        simulation.remove("b")
        simulation.read(0)
        simulation.query(1, 0)
        delta = simulation.query(3, 1)
        self.assertFalse(delta.is_full)
        self.assertEqual([item.key for item in delta.items], ["a"])
        self.assertEqual({r.key for r in delta.removals}, {"b"})
        # The same holds after a change of the store reader.
        simulation.write("c")
        simulation.read(2)
        delta = simulation.query(3, 2)
        self.assertFalse(delta.is_full)
        self.assertEqual({item.key for item in delta.items}, {"c"})

    def test_key_that_the_peer_never_saw_is_removed(self):
        """The key was written and removed between two reads of the peer."""
        simulation = StoreSimulation(3)
        simulation.write("a")
        simulation.read(0)
        simulation.write("b")
        simulation.read(1)
        simulation.query(2, 1)
        self.assertIn("b", get_revisions(simulation.listings[2]))
        simulation.remove("b")
        simulation.read(0)
        simulation.query(2, 0)
        self.assertTrue(simulation.listings[2].diverged)
        simulation.query(2, 0)
        self.assertEqual(
            get_revisions(simulation.listings[2]),
            get_revisions(simulation.listings[0]),
        )

    def test_many_removals_lead_to_a_full_delta(self):
        listing = snapshots.Listing()
        many_items = [
            snapshots.Item(str(n), b"", 1, 1)
            for n in range(snapshots.REMOVALS_MAX + 1)
        ]
        follower = snapshots.Listing()
        listing.load_snapshot(
            snapshots.Snapshot("store", 1, 1, many_items), 1.0
        )
        follower.apply_delta(listing.make_delta(follower.position, 1.0), 1.0)
        kept_item = snapshots.Item("x", b"", 2, 2)
        listing.load_snapshot(
            snapshots.Snapshot("store", 2, 2, [kept_item]), 2.0
        )
        # One removal more than REMOVALS_MAX has happened, so the oldest one is
        # no longer kept. Some of the removed keys are listed again.
        listing.load_snapshot(
            snapshots.Snapshot("store", 3, 3, [kept_item, *many_items[:5]]), 3.0
        )
        delta = listing.make_delta(follower.position, 3.0)
        self.assertTrue(delta.is_full)
        follower.apply_delta(delta, 3.0)
        self.assertEqual(get_revisions(follower), get_revisions(listing))

    def test_late_snapshot_changes_nothing(self):
        listing = snapshots.Listing()
        new = snapshots.Item("a", b"", 2, 2)
        old = snapshots.Item("a", b"", 1, 1)
        listing.load_snapshot(snapshots.Snapshot("store", 2, 2, [new]), 2.0)
        listing.load_snapshot(snapshots.Snapshot("store", 1, 1, [old]), 1.0)
        self.assertEqual(get_revisions(listing), {"a": 2})

    def test_delta_of_an_empty_listing_changes_nothing(self):
        listing = snapshots.Listing()
        item = snapshots.Item("a", b"", 1, 1)
        listing.load_snapshot(snapshots.Snapshot("store", 1, 1, [item]), 1.0)
        empty = snapshots.Listing()
        changes = listing.apply_delta(
            empty.make_delta(listing.position, 2.0), 2.0
        )
        self.assertEqual((changes.items, changes.removed_keys), ([], []))
        self.assertEqual(get_revisions(listing), {"a": 1})

    def test_new_history_yields_only_differences(self):
        """Items that have the same revision are no changes."""
        listing = snapshots.Listing()
        one, two = (
            snapshots.ChangeCounter("one"),
            snapshots.ChangeCounter("two"),
        )
        item = snapshots.Item("a", b"", 7, 0)
        other = snapshots.Item("b", b"", 7, 0)
        listing.load_snapshot(one.make_snapshot([item, other]), 1.0)
        changes = listing.load_snapshot(two.make_snapshot([item]), 2.0)
        self.assertEqual((changes.items, changes.removed_keys), ([], ["b"]))
        again = two.make_snapshot([msgspec.structs.replace(item, revision=8)])
        self.assertEqual(
            (again.complete_to, again.items[0].change_number), (2, 2)
        )
        self.assertEqual(len(listing.load_snapshot(again, 3.0).items), 1)


class ForwardingTest(unittest.TestCase):
    """Items that a store reader forwards to a peer."""

    def setUp(self):
        self.listing = snapshots.Listing(entries.EntryDecoder().is_equivalent)
        self.follower = snapshots.Listing()
        self.now = 0.0

    def read(self, item: snapshots.Item) -> int:
        """Reads a store with one item; returns how many are forwarded."""
        self.now += 1
        snapshot = snapshots.Snapshot(
            "store", item.change_number, item.change_number, [item]
        )
        self.listing.load_snapshot(snapshot, self.now)
        delta = self.listing.make_delta(self.follower.position, self.now)
        self.assertEqual(delta.age_s, 0.0)
        self.follower.apply_delta(delta, self.now)
        return len(delta.items)

    def test_equivalent_item_is_not_forwarded(self):
        """Replicas write their entries every second with a new sequence."""
        self.assertEqual(self.read(make_entry(1)), 1)
        for sequence in range(2, 5):
            self.assertEqual(self.read(make_entry(sequence)), 0)
        self.assertEqual(self.read(make_entry(5, State="draining")), 1)
        restarted = make_entry(6, State="draining", Sequence=1, born=9)
        self.assertEqual(self.read(restarted), 1)

    def test_malformed_item_is_forwarded_and_does_no_harm(self):
        self.assertEqual(self.read(make_entry(1)), 1)
        garbled = snapshots.Item("servers/i-1", b"\xff{", 109, 109)
        self.assertEqual(self.read(garbled), 1)
        self.assertEqual(self.read(make_entry(20)), 1)


def make_entry(sequence: int, **overrides) -> snapshots.Item:
    """Returns a replica's entry as the platform's store has it."""
    entry = {
        "Service": "llm",
        "Address": "10.0.0.1:80",
        "Zone": "a",
        "Slots": 4,
        "State": "ready",
        "Sequence": sequence,
        "born": 7,
        **overrides,
    }
    value = json.dumps(entry).encode()
    revision = 100 + sequence
    return snapshots.Item("servers/i-1", value, revision, revision)


class ReadingTest(unittest.TestCase):
    """Choice of the router that reads the store, and of the others' parents."""

    @hypothesis.given(strategies.integers(1, 400))
    def test_one_router_reads_in_any_fleet_size(self, count):
        """Each parent has few children, and no path is long or a cycle."""
        links = {f"router-{number}": 10 for number in range(count)}
        parents = {}
        for name in links:
            others = {peer: 10 for peer in links if peer != name}
            target = polling.choose_target(name, 10, others)
            parents[name] = None
            if target.source is polling.PollSource.PEER:
                parents[name] = target.peer
        query_counts = collections.Counter(parents.values())
        self.assertEqual(query_counts.pop(None), 1)
        self.assertLessEqual(
            max(query_counts.values(), default=0), polling.TREE_FANOUT
        )
        for name in links:
            hops = 0
            while parents[name] is not None:
                name = parents[name]
                hops += 1
            self.assertLessEqual(hops, 3)

    def test_routers_with_fast_links_come_first(self):
        """Of ten slow and two fast routers the fast ones come first."""
        for number in range(20):
            links = {f"router-{number}-{peer}": 10 for peer in range(10)}
            fast = {f"fast-{number}-{peer}": 200 for peer in range(2)}
            first = polling.order_by_link({**links, **fast})[:2]
            self.assertEqual(set(first), set(fast))

    def test_lag_stays_within_the_bound(self):
        """A change reaches 9 routers within 2 s, 200 within 3 s.

        The time of a query includes three crossings of failure domains of 4 ms
        each.
        """
        for count, limit_s in ((9, 2.0), (200, 3.0)):
            links = {f"router-{number}": 10 for number in range(count)}
            last = polling.order_by_link(links)[-1]
            others = {peer: 10 for peer in links if peer != last}
            target = polling.choose_target(last, 10, others)
            self.assertLess(
                target.max_age_s - polling.MAX_AGE_MARGIN_S, limit_s
            )
            self.assertLess(target.max_age_s, limit_s)

    def test_outage_causes_few_calls_and_all_recover_soon(self):
        """The outage lasts 20 s; replies of peers take no time here."""
        for count in (9, 195):
            calls, recovery_s = OutageSimulation(count).run()
            # A router with a read every second would make 20 calls.
            self.assertLess(calls, 7 * count + 60)
            self.assertLess(recovery_s, 2.0)

    def test_routers_that_start_together_leave_reads_to_one(self):
        """Up to 300 routers with 3,000 replicas, whose listing has 1.3 MB.

        The first reads take seconds, so each listing is out of date when it
        arrives. If all routers read again for that reason, this never ends.
        """
        for count in (9, 100, 300):
            with self.subTest(count):
                simulation = StartupSimulation(count)
                simulation.run(20.0)
                late_reads = [at for at in simulation.read_times if at > 10.0]
                # One router reads the store every 0.8 s.
                self.assertLessEqual(len(late_reads), 15)
                self.assertLess(simulation.get_max_age_s(20.0), 3.0)


class RelayTree:
    """Routers that know each other and read the store or query a parent."""

    def __init__(self, count: int):
        self.links = {f"router-{number}": 10 for number in range(count)}
        self.schedules = {name: polling.PollSchedule() for name in self.links}
        self.read_at = dict.fromkeys(self.links, -99.0)
        self.targets = {}
        for name in self.links:
            others = {peer: 10 for peer in self.links if peer != name}
            self.targets[name] = polling.choose_target(name, 10, others)


class StartupSimulation(RelayTree):
    """Simulates routers that all start at 0 s and share the store's link."""

    TICK_S = 0.01
    # Duration of a read of 1.3 MB over 1,000 Mbit/s.
    READ_DURATION_S = 0.0104

    def __init__(self, count: int):
        super().__init__(count)
        self.next_at = dict.fromkeys(self.links, 0.0)
        # Times at which the reads in progress began, by router.
        self.reads_in_progress: dict[str, float] = {}
        self.read_times: list[float] = []

    def run(self, until: float) -> None:
        """Simulates the time from 0 s on."""
        now = 0.0
        while now < until:
            for name in self.links:
                if now >= self.next_at[name]:
                    self.run_step(name, now)
            now += self.TICK_S

    def run_step(self, name: str, now: float) -> None:
        """Polls once, or ends the router's read in progress."""
        target, schedule = self.targets[name], self.schedules[name]
        if name in self.reads_in_progress:
            began_at = self.reads_in_progress.pop(name)
            self.read_at[name] = began_at
            schedule.record_read(now, now - began_at)
            self.next_at[name] = now + schedule.get_pause_s(target.source)
            return
        is_child = target.source is polling.PollSource.PEER
        # Gossip takes a moment until a router knows its parent.
        if is_child and now > 0.3:
            peer_read_at = self.read_at[target.peer]
            self.read_at[name] = max(self.read_at[name], peer_read_at)
        has_listing = self.read_at[name] >= 0.0
        if (
            is_child
            and has_listing
            and now - self.read_at[name] <= target.max_age_s
        ):
            schedule.record_peer_success()
        elif schedule.is_read_due(is_child and has_listing, now):
            took_s = max(
                0.1, self.READ_DURATION_S * (len(self.reads_in_progress) + 1)
            )
            self.read_times.append(now)
            self.reads_in_progress[name] = now
            self.next_at[name] = now + took_s
            return
        self.next_at[name] = now + schedule.get_pause_s(target.source)

    def get_max_age_s(self, now: float) -> float:
        """Returns the age of the oldest listing in seconds."""
        return now - min(self.read_at.values())


class OutageSimulation(RelayTree):
    """Simulates routers whose store is unavailable from 10 s to 30 s."""

    TICK_S = 0.05
    OUTAGE_S = (10.0, 30.0)

    def __init__(self, count: int):
        super().__init__(count)
        self.next_at = {
            name: 0.01 * number for number, name in enumerate(self.links)
        }
        self.calls = 0

    def run(self) -> tuple[int, float]:
        """Simulates 40 s at most.

        Returns:
          The store calls during the outage, and the seconds from its end until
          all routers had a listing that was read after it.
        """
        now = 0.0
        while now < 40.0:
            for name in self.links:
                if now >= self.next_at[name]:
                    self.run_step(name, now)
            if min(self.read_at.values()) >= self.OUTAGE_S[1]:
                break
            now += self.TICK_S
        return self.calls, now - self.OUTAGE_S[1]

    def run_step(self, name: str, now: float) -> None:
        """Polls once."""
        target, schedule = self.targets[name], self.schedules[name]
        if target.source is polling.PollSource.PEER:
            self.read_at[name] = max(
                self.read_at[name], self.read_at[target.peer]
            )
        fresh = now - self.read_at[name] <= target.max_age_s
        if target.source is polling.PollSource.PEER and fresh:
            schedule.record_peer_success()
        elif schedule.is_read_due(
            target.source is polling.PollSource.PEER, now
        ):
            self.read(name, now)
        self.next_at[name] = now + schedule.get_pause_s(target.source)

    def read(self, name: str, now: float) -> None:
        """Reads the store, which fails during the outage."""
        begin, end = self.OUTAGE_S
        if begin <= now < end:
            self.calls += 1
            self.schedules[name].record_failure(now)
        else:
            self.schedules[name].record_read(now, 0.0)
            self.read_at[name] = now
