"""Test each scheduling mechanism under the load pattern that it is made for."""

import unittest
from collections import Counter, OrderedDict, deque
from dataclasses import replace
from math import inf
from random import Random

from catkintrack.decisions import record_end, record_first_token, submit, tick
from catkintrack.decisions.cache_store import (
    CacheStoreIndex,
    add_stored_blocks,
    choose_store,
    clear_stored_blocks,
    count_stored_prefix,
    remove_stored_blocks,
    should_store_prefix,
)
from catkintrack.decisions.engine_priority import (
    MaxTimeoutTable,
    compute_engine_priority,
    compute_urgency,
    estimate_first_attempt_at,
)
from catkintrack.decisions.failure_detection import (
    is_suspect,
    record_bytes_received,
    record_request_sent,
    should_fail_over,
)
from catkintrack.decisions.placement import place_by_cost
from catkintrack.decisions.residency import add_cached_blocks
from catkintrack.decisions.retries import (
    RetryShare,
    add_retry_credit,
    open_retry_budget,
    take_retry,
)
from catkintrack.decisions.scheduler import Dispatch, record_remote_prefill
from catkintrack.decisions.shedding import (
    LateQueue,
    choose_retry_after_s,
    find_requests_to_shed,
    record_late_dispatch,
    update_late_queue,
)
from catkintrack.fleet import ModelWeights
from catkintrack.weights import TargetWeights, WeightsTables, record_target_weights
from testkit.loads import (
    make_history_load,
    make_hot_history_load,
    make_long_request,
    make_site_tables,
)

# Tokens of a replica's KV cache that running requests leave for prefixes.
CACHE_TOKENS = 180_000
PREFILL_TOKENS_PER_S = 85_000.0


class SimulatedReplicas:
    """Simulate the replicas' KV caches and prefill queues."""

    def __init__(self, tables, has_store):
        self.tables = tables
        self.caches = {name: OrderedDict() for name in tables.upstream_by_name}
        self.busy_until = dict.fromkeys(self.caches, 0.0)
        self.pending_ends = []
        self.stored = set()
        self.last_used_at = {}
        self.has_store = has_store
        self.recomputed_tokens = 0
        self.first_token_s = []

    def replay(self, arrivals):
        rng = Random(5)
        for arrival in arrivals:
            self.finish(arrival.at)
            assert submit(self.tables, arrival.request, arrival.at) is None
            for decision in tick(self.tables, arrival.at, rng, "catkintrack"):
                if isinstance(decision, Dispatch):
                    self.run(decision, arrival.at)
        self.finish(1e9)
        return self

    def finish(self, now):
        for end in sorted(self.pending_ends):
            at, id = end
            if at <= now:
                self.pending_ends.remove(end)
                record_first_token(self.tables, id, "life", at)
                record_end(self.tables, id, at)

    def run(self, decision, now):
        request = decision.request
        cache = self.caches[decision.upstream]
        tokens = dict(zip(request.blocks, self.sizes(request), strict=True))
        source = decision.fetch_from
        missing = 0
        is_prefix = True
        for block in request.blocks[:-1]:
            is_prefix = is_prefix and (
                block in cache
                or (source == "store" and block in self.stored)
                or (source in self.caches and block in self.caches[source])
            )
            if not is_prefix:
                missing += tokens[block]
                if now - self.last_used_at.get(block, -1e9) < 10.0:
                    self.recomputed_tokens += tokens[block]
            self.last_used_at[block] = now
        missing += tokens[request.blocks[-1]]
        if self.has_store and should_store_prefix(self.tables.cache_store, 1, request):
            self.stored.update(request.blocks[:-1])
            add_stored_blocks(self.tables.cache_store, 1, request.blocks[:-1])
        for block, size in tokens.items():
            cache.pop(block, None)
            cache[block] = size
        while sum(cache.values()) > CACHE_TOKENS:
            cache.popitem(last=False)
        started_at = max(now, self.busy_until[decision.upstream])
        at = started_at + missing / PREFILL_TOKENS_PER_S
        self.busy_until[decision.upstream] = at
        self.first_token_s.append(at - request.arrived_at)
        self.pending_ends.append((at, request.id))

    @staticmethod
    def sizes(request):
        starts = (0, *request.block_ends[:-1])
        return [
            end - start for start, end in zip(starts, request.block_ends, strict=True)
        ]


def p95(values):
    return sorted(values)[len(values) * 95 // 100]


class CacheStoreIndexTest(unittest.TestCase):
    def test_store_serves_prefixes_that_replica_caches_evict(self):
        """Guards against recomputing prefixes that replicas evict before they recur.

        151 long histories at 20 requests a second replace a replica's cache in 3 s.
        """
        load = make_history_load(151, 20.0, 20.0)
        without_store = SimulatedReplicas(make_site_tables(), False).replay(load)
        with_store = SimulatedReplicas(make_site_tables(has_store=True), True).replay(
            load
        )
        self.assertLess(
            with_store.recomputed_tokens, without_store.recomputed_tokens / 4
        )

    def test_restarted_store_is_filled_again(self):
        tables = make_site_tables(has_store=True)
        request = make_long_request("r1", 7)
        add_stored_blocks(tables.cache_store, 1, request.blocks[:2])
        self.assertFalse(should_store_prefix(tables.cache_store, 1, request))
        clear_stored_blocks(tables.cache_store)
        self.assertTrue(should_store_prefix(tables.cache_store, 1, request))

    def test_store_blocks_are_separate_by_weights_version(self):
        store = make_site_tables(has_store=True).cache_store
        add_stored_blocks(store, 1, (1, 2))
        self.assertEqual(count_stored_prefix(store, 2, (1, 2)), 0)
        self.assertEqual(count_stored_prefix(store, 1, (1, 2, 3)), 2)
        remove_stored_blocks(store, 1, (1,))
        self.assertEqual(count_stored_prefix(store, 1, (1, 2)), 0)

    def test_short_prefixes_are_not_stored(self):
        store = make_site_tables(has_store=True).cache_store
        request = make_long_request("r1", 7)
        add_stored_blocks(store, 1, request.blocks[:2])
        self.assertFalse(should_store_prefix(store, 1, request))


class TransferTest(unittest.TestCase):
    def test_hot_prefix_is_fetched_to_less_loaded_replicas(self):
        """Guards against overload of the one replica that caches a hot prefix.

        28% of the requests share that prefix, the history of a conversation.
        """
        load = make_hot_history_load(0.28, 25.0, 15.0)
        with_fetches = SimulatedReplicas(make_site_tables(), False).replay(load)
        tables = make_site_tables()
        tables.transfer_rates = None
        without_fetches = SimulatedReplicas(tables, False).replay(load)
        self.assertLess(
            p95(with_fetches.first_token_s), p95(without_fetches.first_token_s)
        )

    def test_busy_holder_is_the_fetch_source(self):
        tables = make_site_tables()
        request = make_long_request("r1", 7)
        holder = tables.upstream_by_name["u3"]
        add_cached_blocks(tables.residency, holder.bit_index, request.blocks[:2])
        holder.in_flight = 200
        placement = place_by_cost(tables, request, 0.0, Random(1))
        self.assertNotEqual(placement.upstream.name, "u3")
        self.assertEqual(placement.source.name, "u3")
        self.assertEqual(placement.uncached_tokens, 6610)

    def test_replica_with_other_weights_is_no_fetch_source(self):
        tables = make_site_tables()
        request = make_long_request("r1", 7)
        holder = tables.upstream_by_name["u3"]
        add_cached_blocks(tables.residency, holder.bit_index, request.blocks[:2])
        holder.in_flight = 200
        holder.weights_version = 2
        placement = place_by_cost(tables, request, 0.0, Random(1))
        self.assertIsNone(placement.source)


class WeightsTest(unittest.TestCase):
    def test_replaced_weights_are_used_for_a_bounded_time(self):
        tables = make_site_tables(upstreams=1)
        tables.target_by_model["m1"] = TargetWeights(2, 100.0)
        request = make_long_request("r1", 7)
        self.assertIsNotNone(place_by_cost(tables, request, 104.0, Random(1)))
        self.assertIsNone(place_by_cost(tables, request, 105.5, Random(1)))

    def test_newer_target_does_not_extend_use_of_older_weights(self):
        """Guards against use of weights that were replaced 6.3 s ago.

        A newer target version that was set meanwhile restarted the bound on their use.
        """
        tables = make_site_tables(upstreams=1)
        weights = WeightsTables()
        record_target_weights(weights, ModelWeights("m1", 2), 100.0)
        record_target_weights(weights, ModelWeights("m1", 3), 103.3)
        tables.target_by_model.update(weights.target_by_model)
        request = make_long_request("r1", 7)
        self.assertIsNotNone(place_by_cost(tables, request, 104.0, Random(1)))
        self.assertIsNone(place_by_cost(tables, request, 105.5, Random(1)))
        tables.upstream_by_name["u0"].weights_version = 2
        self.assertIsNotNone(place_by_cost(tables, request, 105.5, Random(1)))

    def test_loading_replica_gets_no_requests(self):
        tables = make_site_tables(upstreams=2)
        tables.upstream_by_name["u0"].loading_until = 100.3
        request = make_long_request("r1", 7)
        placement = place_by_cost(tables, request, 100.1, Random(1))
        self.assertEqual(placement.upstream.name, "u1")


class AwaitedPrefillTest(unittest.TestCase):
    def test_prefill_in_progress_is_awaited_for_a_bounded_time(self):
        """Guards against computing a new prefix twice, and against waiting too long.

        Two instances get requests with the same prefix almost at once.
        """
        tables = make_site_tables(upstreams=2, zones=1)
        request = make_long_request("r1", 7, at=10.0)
        record_remote_prefill(tables, "other", "u1", request.blocks[:2], 5382, 1, 10.0)
        early = place_by_cost(tables, request, 10.01, Random(1))
        late = place_by_cost(tables, request, 10.3, Random(1))
        self.assertTrue(early.is_awaiting)
        self.assertEqual(early.upstream.name, "u1")
        self.assertFalse(late.is_awaiting)


class PrefillRateTest(unittest.TestCase):
    def test_prefill_rate_is_learned_from_prefills_that_run_alone(self):
        """Guards against a wrong prefill rate in load estimates.

        Engines differ in speed, and their step overhead lowers the configured rate.
        """
        tables = make_site_tables(upstreams=1)
        row = tables.upstream_by_name["u0"]
        rng = Random(1)
        for number in range(60):
            now = 10.0 * number
            submit(tables, make_long_request(f"r{number}", number, now), now)
            (decision,) = tick(tables, now, rng, "catkintrack")
            at = now + decision.uncached_tokens / 60_000.0
            record_first_token(tables, f"r{number}", "life", at)
            record_end(tables, f"r{number}", at + 1.0)
        self.assertAlmostEqual(row.prefill_tokens_per_s, 60_000.0, delta=2_000.0)

    def test_queued_prefills_do_not_change_the_learned_rate(self):
        tables = make_site_tables(upstreams=1)
        row = tables.upstream_by_name["u0"]
        for number in range(2):
            submit(tables, make_long_request(f"r{number}", number), 0.0)
        tick(tables, 0.0, Random(1), "catkintrack")
        record_first_token(tables, "r1", "life", 9.0)
        self.assertEqual(row.prefill_tokens_per_s, 85_000.0)


class LateRequestOrderTest(unittest.TestCase):
    def test_requests_that_can_meet_their_target_go_before_late_ones(self):
        """Guards against first-in, first-out dispatch under overload.

        In order of arrival every request would be late.
        """
        by_lateness = run_overload(True)
        by_arrival = run_overload(False)
        self.assertGreater(by_lateness, 2 * by_arrival)


class LoadSheddingTest(unittest.TestCase):
    def test_requests_that_cannot_start_before_their_deadline_are_shed(self):
        """Guards against late requests that are refused only at their deadline.

        Thirty late requests are queued, and one is dispatched every 0.2 s.
        """
        queue = LateQueue()
        update_late_queue(queue, False, 100.0)
        for number in range(1, 6):
            record_late_dispatch(queue, 100.0 + 0.2 * number)
        late = [
            replace(make_long_request(f"r{n}", n, 99.0), deadline=103.0)
            for n in range(30)
        ]
        to_shed = find_requests_to_shed(queue, late, 101.0)
        self.assertEqual(len(late) - len(to_shed), 10)
        self.assertEqual(to_shed, late[10:])
        self.assertLess(choose_retry_after_s(late[10], 101.0), 0.7)

    def test_no_request_is_shed_before_the_dispatch_interval_is_known(self):
        queue = LateQueue()
        late = [replace(make_long_request("r1", 1, 99.0), deadline=103.0)]
        self.assertEqual(find_requests_to_shed(queue, late, 100.0), [])
        update_late_queue(queue, False, 100.0)
        self.assertEqual(find_requests_to_shed(queue, late, 100.5), [])
        self.assertEqual(find_requests_to_shed(queue, late, 102.0), late)


def run_overload(has_target):
    """Return the fraction on time at 1.2 times the load that one replica can serve."""
    tables = make_site_tables(upstreams=1)
    tables.max_prefill_wait_s = 0.2
    tables.router_count = 1
    rng = Random(3)
    tokens_per_s = 1.2 * PREFILL_TOKENS_PER_S
    requests = []
    at = 0.0
    while at < 20.0:
        request = make_long_request(f"r{len(requests)}", len(requests), at, 0)
        target_at = at + 0.6
        requests.append((at, replace(request, target_at=target_at), target_at))
        at += request.prompt_tokens / tokens_per_s
    target_by_id = {request.id: target_at for _, request, target_at in requests}
    running = deque()
    busy_until = on_time = now = 0.0
    while now < 24.0:
        while requests and requests[0][0] <= now:
            _, request, _ = requests.pop(0)
            submitted = request if has_target else replace(request, target_at=inf)
            submit(tables, submitted, now)
        while running and running[0][0] <= now:
            at, id = running.popleft()
            record_first_token(tables, id, "life", at)
            record_end(tables, id, at)
            on_time += at <= target_by_id[id]
        for decision in tick(tables, now, rng, "catkintrack"):
            if isinstance(decision, Dispatch):
                busy_until = max(now, busy_until)
                busy_until += decision.uncached_tokens / PREFILL_TOKENS_PER_S
                running.append((busy_until, decision.request.id))
        now += 0.01
    return on_time / len(target_by_id)


class FailureDetectionTest(unittest.TestCase):
    def test_suspect_replica_gets_no_new_requests(self):
        """Guards against dispatch to a replica that vanished.

        Its requests are in flight, and its connections stay open.
        """
        tables = make_site_tables(upstreams=2)
        row = tables.upstream_by_name["u0"]
        row.in_flight = 1
        record_request_sent(row, 100.0)
        record_bytes_received(row, 100.5)
        self.assertFalse(is_suspect(row, 101.0))
        self.assertTrue(is_suspect(row, 101.2))
        placement = place_by_cost(tables, make_long_request("r1", 1), 101.2, Random(1))
        self.assertEqual(placement.upstream.name, "u1")

    def test_suspect_replicas_are_used_when_all_are_suspect(self):
        tables = make_site_tables(upstreams=1)
        row = tables.upstream_by_name["u0"]
        row.in_flight = 1
        record_request_sent(row, 100.0)
        placement = place_by_cost(tables, make_long_request("r1", 1), 109.0, Random(1))
        self.assertIsNotNone(placement)

    def test_failover_is_sooner_from_an_unreachable_replica(self):
        row = make_site_tables().upstream_by_name["u0"]
        row.in_flight = 1
        record_request_sent(row, 100.0)
        self.assertFalse(should_fail_over(row, 100.5))
        row.ejected_until = 101.0
        self.assertTrue(should_fail_over(row, 100.5))
        row.ejected_until = 0.0
        self.assertTrue(should_fail_over(row, 102.1))


class SeveralStoresTest(unittest.TestCase):
    """Replays long shared prompts that exceed one store's capacity and link."""

    def setUp(self):
        self.tables = make_site_tables(has_store=True)
        self.tables.cache_stores = [
            CacheStoreIndex(name, zone, 1e-6)
            for name, zone in (("s1", "z1"), ("s2", "z2"), ("s3", "z3"))
        ]
        self.requests = [
            replace(
                make_long_request(f"r{number}", number),
                blocks=(1, 1000 + number, 9_000_000 + number),
            )
            for number in range(600)
        ]

    def count_by_store(self):
        return Counter(choose_store(self.tables, r).name for r in self.requests)

    def test_prompts_spread_over_all_stores(self):
        counts = self.count_by_store()
        self.assertEqual(set(counts), {"s1", "s2", "s3"})
        self.assertGreater(min(counts.values()), 150)

    def test_prompt_of_another_session_part_has_the_same_store(self):
        for request in self.requests[:20]:
            other = replace(request, blocks=(*request.blocks[:2], 77))
            store = choose_store(self.tables, request)
            self.assertIs(choose_store(self.tables, other), store)

    def test_only_prompts_of_a_store_that_leaves_move(self):
        before = {r.blocks: choose_store(self.tables, r).name for r in self.requests}
        self.tables.cache_stores[1].is_leaving = True
        for request in self.requests:
            name = choose_store(self.tables, request).name
            if before[request.blocks] != "s2":
                self.assertEqual(name, before[request.blocks])
            self.assertNotEqual(name, "s2")

    def test_without_a_usable_store_nothing_is_kept(self):
        for store in self.tables.cache_stores:
            store.is_absent = True
        self.assertIsNone(choose_store(self.tables, self.requests[0]))


class EnginePriorityTest(unittest.TestCase):
    def test_retry_is_detected_from_its_shorter_deadline(self):
        table = MaxTimeoutTable()
        self.assertEqual(estimate_first_attempt_at(table, "r", 2.5, 100.0), 100.0)
        self.assertAlmostEqual(
            estimate_first_attempt_at(table, "r", 1.125, 103.0), 102.0
        )
        self.assertEqual(estimate_first_attempt_at(table, "r", None, 103.0), 103.0)

    def test_timeouts_that_vary_between_callers_are_not_taken_for_retries(self):
        """Guards against new requests taken for retries and given a lower priority.

        That happened to half of the new requests of a day, since callers' timeouts vary.
        """
        table = MaxTimeoutTable()
        rng = Random(1)
        for number in range(500):
            deadline_s = 2.5 * rng.uniform(0.85, 1.15)
            at = float(number)
            self.assertEqual(estimate_first_attempt_at(table, "r", deadline_s, at), at)

    def test_urgent_routes_go_first_within_a_paid_priority(self):
        """Replays urgent short calls beside long drafts of workspaces of one priority."""
        urgent, draft = compute_urgency(1, 0), compute_urgency(1, 2)
        self.assertLess(urgent, draft)
        self.assertLess(compute_urgency(0, 2), urgent)
        self.assertGreater(compute_urgency(2, 0), draft)
        self.assertEqual(compute_urgency(None, 2), 2)

    def test_late_requests_get_lower_priority_than_those_that_can_be_on_time(self):
        """Guards against late requests that make others late.

        After an outage late requests are retried together with new ones.
        """
        on_time = [compute_engine_priority(p, 100.3, 0.02, 100.0) for p in range(12)]
        late = [compute_engine_priority(p, 100.0, 0.02, 100.0) for p in range(12)]
        self.assertLess(max(on_time), min(late))
        self.assertLessEqual(max(late), 9)
        self.assertEqual(sorted(on_time), on_time)


class RetryBudgetTest(unittest.TestCase):
    def test_fleet_stays_within_its_retry_budget(self):
        """Guards against a fleet that sends more retries than its budget.

        Half of the replicas refuse the requests of all instances.
        """
        instances = 8
        share = RetryShare(0.2, 56.0, 10.0, instances - 1, instances - 1, 60.0, False)
        budgets = [open_retry_budget(share) for _ in range(instances)]
        requests = retries = 0
        for _ in range(200):
            for budget in budgets:
                add_retry_credit(budget)
                requests += 1
                while take_retry(budget):
                    retries += 1
        self.assertLessEqual(retries, 0.2 * requests + 56)
        self.assertGreater(retries, 0.15 * requests)
