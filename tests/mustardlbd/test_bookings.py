"""A booking runs at most once under faults, crashes and retries."""

import collections
import random

import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from mustardlb import errors
from mustardlb import object_api as object_api_types
from mustardlb_standins import faults
from mustardlb_standins import object_api
from mustardlbd import _booking_bucket
from mustardlbd import _booking_records
from mustardlbd import _bookings
from mustardlbd import _dependencies

FINGERPRINT = b'same call'


class DoubleRun(Exception):
    """A booking ran twice, or a call returned a wrong outcome."""


class RandomFaultPlan:
    """A fault plan that injects faults with a given probability."""

    KINDS = (
        faults.Kind.DROP,
        faults.Kind.UNAVAILABLE,
        faults.Kind.DELAY,
        faults.Kind.RESPONSE_LOST,
        faults.Kind.SLOW,
        faults.Kind.LATE,
        faults.Kind.STALE,
    )

    def __init__(self, rng, probability):
        self.rng = rng
        self.probability = probability

    def next_fault(self, step):
        if self.rng.random() >= self.probability:
            return None
        kind = self.rng.choice(self.KINDS)
        if step.startswith('put') and kind is faults.Kind.STALE:
            kind = faults.Kind.LATE
        return faults.Fault(step, kind, self.rng.choice([0.1, 0.8, 5.0]))


class OrderDesk:
    """Runs bookings and counts the runs of each key."""

    def __init__(self):
        self.runs = collections.Counter()

    async def book(self, key, number):
        await trio.sleep(0.05)
        self.runs[key] += 1
        if self.runs[key] > 1:
            raise DoubleRun(key)
        return b'booked %d' % number


class Cluster:
    """Nodes that share one order desk and one object API."""

    def __init__(self, seed, nursery):
        self.rng = random.Random(seed)
        self.nursery = nursery
        self.api = object_api.MemoryObjectApi()
        self.desk = OrderDesk()
        self.numbers = iter(range(10**6))
        self.bodies = {}
        self.dead = set()
        self.scopes = []
        self.nodes = []
        for _ in range(3):
            self.add_node()

    def add_node(self):
        node = _bookings.Bookings(self.api, trio.current_time)
        scope = trio.CancelScope()
        self.nodes.append(node)
        self.scopes.append(scope)

        async def run():
            with scope:
                await node.run()

        self.nursery.start_soon(run)

    def kill(self, index):
        self.dead.add(index)
        self.scopes[index].cancel()

    async def call(self, index, key, behaviour):
        """Return the response body of one call, or its error code."""
        try:
            return await self._call(index, key, behaviour)
        except errors.Error as error:
            if error.code is errors.Code.RECORD_UNAVAILABLE:
                assert error.not_run
            return error.code

    async def _call(self, index, key, behaviour):
        node = self.nodes[index]
        attempt = await node.begin('canopy', key, FINGERPRINT)
        if isinstance(attempt, _dependencies.RecordedOutcome):
            if self.bodies.get(key) != attempt.body:
                raise DoubleRun(f'{key} returned a different outcome')
            return attempt.body
        if behaviour == 'pause':
            await trio.sleep(self.rng.choice([1, 20, 300]))
        if behaviour == 'crash before' or index in self.dead:
            self.kill(index)
            return None
        if behaviour == 'not run':
            await attempt.record_not_run()
            return None
        body = await self.desk.book(key, next(self.numbers))
        self.bodies[key] = body
        if behaviour == 'crash after' or index in self.dead:
            self.kill(index)
            return None
        await attempt.record_response(
            200, [(b'content-type', b'text/plain')], body
        )
        return body


CALL = st.tuples(
    st.integers(0, 2),
    st.sampled_from(['k0', 'k1', 'k2']),
    st.sampled_from(
        ['ok', 'ok', 'ok', 'not run', 'crash before', 'crash after', 'pause']
    ),
    st.sampled_from([0.0, 0.0, 0.03, 0.5, 4.0, 30.0]),
)


def run(script):
    async def main():
        async with trio.open_nursery() as nursery:
            result = await script(nursery)
            nursery.cancel_scope.cancel()
        return result

    clock = trio.testing.MockClock(autojump_threshold=0)
    try:
        return trio.run(main, clock=clock)
    except* DoubleRun as group:
        error = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise error from None


def book_all(seed, calls, probability=0.4):
    async def script(nursery):
        cluster = Cluster(seed, nursery)
        cluster.api.plan = RandomFaultPlan(cluster.rng, probability)
        async with trio.open_nursery() as callers:
            for index, key, behaviour, pause in calls:
                callers.start_soon(cluster.call, index, key, behaviour)
                await trio.sleep(pause)
        cluster.api.plan = RandomFaultPlan(cluster.rng, 0.0)
        await trio.sleep(60)
        cluster.add_node()
        for key in ('k0', 'k1', 'k2'):
            outcome = await cluster.call(len(cluster.nodes) - 1, key, 'ok')
            matches = key in cluster.bodies and outcome == cluster.bodies[key]
            is_unknown = outcome is errors.Code.OUTCOME_UNKNOWN
            is_unknown |= outcome is errors.Code.IN_PROGRESS
            if not (matches or is_unknown and cluster.dead):
                raise DoubleRun(f'{key} ended with {outcome}')

    run(script)


@hypothesis.settings(
    max_examples=150, derandomize=True, database=None, deadline=None
)
@hypothesis.given(st.integers(0, 999), st.lists(CALL, min_size=2, max_size=14))
def test_no_booking_runs_twice(seed, calls):
    book_all(seed, calls)


def omit_fencing_write(patch):
    """A node ignores that a delayed write may still be committed."""
    patch.setattr(_booking_records, 'forces_write', lambda operation: False)


def dispatch_without_record(patch):
    """A booking runs although its record may not have been written."""
    begin = _bookings.Bookings.begin

    async def faulty(bookings, account, key, fingerprint):
        try:
            return await begin(bookings, account, key, fingerprint)
        except errors.Error as error:
            if error.code is not errors.Code.RECORD_UNAVAILABLE:
                raise
            hashed = _bookings.record_key(account, key)
            return _bookings.Attempt(hashed, 'none', bookings)

    patch.setattr(_bookings.Bookings, 'begin', faulty)


def rerun_started(patch):
    """A booking that started more than 10 s ago may run again."""
    apply = _booking_records.Begin.apply

    def faulty(operation, records):
        found = records.get(operation.key)
        if found is not None and operation.now - found.started_at > 10:
            del records[operation.key]
        return apply(operation, records)

    patch.setattr(_booking_records.Begin, 'apply', faulty)


def write_unconditionally(patch):
    """A write is not conditional on the version that was read."""

    async def faulty(bucket, records, expected):
        current = bucket._api.peek(bucket._name).version
        value = _booking_records.encode(records)
        try:
            await bucket._api.put(bucket._name, value, current)
        except object_api_types.VersionConflict:
            return False
        return True

    patch.setattr(_booking_bucket.BookingBucket, '_put', faulty)


@pytest.mark.parametrize(
    'fault',
    [
        dispatch_without_record,
        rerun_started,
        write_unconditionally,
        omit_fencing_write,
    ],
)
def test_faulty_variant_is_detected(fault, monkeypatch):
    fault(monkeypatch)
    rng = random.Random(4)
    with pytest.raises(DoubleRun):
        for seed in range(400):
            calls = [
                (
                    rng.randrange(3),
                    rng.choice(['k0', 'k1']),
                    rng.choice(['ok', 'ok', 'not run', 'pause']),
                    rng.choice([0.0, 0.03, 0.5, 4.0, 30.0]),
                )
                for _ in range(10)
            ]
            book_all(seed, calls)


def test_repeated_key_returns_the_outcome_or_is_rejected():
    async def script(nursery):
        cluster = Cluster(1, nursery)
        attempt = await cluster.nodes[0].begin('canopy', 'k', FINGERPRINT)
        with pytest.raises(errors.Error) as progress:
            await cluster.nodes[1].begin('canopy', 'k', FINGERPRINT)
        with pytest.raises(errors.Error) as reused:
            await cluster.nodes[1].begin('canopy', 'k', b'other')
        other = await cluster.nodes[1].begin('akwaaba', 'k', b'other')
        await trio.sleep(_booking_records.MAX_RUN_SECONDS + 1)
        with pytest.raises(errors.Error) as unknown:
            await cluster.nodes[2].begin('canopy', 'k', FINGERPRINT)
        await attempt.record_response(201, [(b'x', b'y')], b'done')
        outcome = await cluster.nodes[2].begin('canopy', 'k', FINGERPRINT)
        assert isinstance(other, _bookings.Attempt)
        assert (outcome.status, outcome.body) == (201, b'done')
        return progress.value, reused.value, unknown.value

    failures = run(script)
    assert [one.code for one in failures] == [
        errors.Code.IN_PROGRESS,
        errors.Code.KEY_REUSED,
        errors.Code.OUTCOME_UNKNOWN,
    ]
    assert not any(one.not_run for one in failures)


def test_outage_rejects_in_time_and_releases_the_key():
    async def script(nursery):
        cluster = Cluster(1, nursery)
        cluster.api.plan.add(
            'put:*', faults.Kind.LATE, seconds=3.0, times=None
        )
        cluster.api.plan.add('get:*', faults.Kind.STALE, times=3)
        start = trio.current_time()
        code = await cluster.call(0, 'k', 'ok')
        assert trio.current_time() - start < 4.0
        assert code is errors.Code.RECORD_UNAVAILABLE
        assert not cluster.desk.runs
        cluster.api.plan.reset()
        await trio.sleep(10)
        assert await cluster.call(1, 'k', 'ok') == b'booked 0'

    run(script)


def test_stopping_node_flushes_unwritten_outcomes():
    async def script(nursery):
        cluster = Cluster(1, nursery)
        attempt = await cluster.nodes[0].begin('canopy', 'k', FINGERPRINT)
        cluster.api.plan.add('put:*', faults.Kind.UNAVAILABLE, times=None)
        await attempt.record_response(200, [], b'booked')
        cluster.kill(0)
        cluster.api.plan.reset()
        assert await cluster.call(1, 'k', 'ok') is errors.Code.IN_PROGRESS
        await cluster.nodes[0].flush()
        cluster.bodies['k'] = b'booked'
        assert await cluster.call(1, 'k', 'ok') == b'booked'

    run(script)


def test_concurrent_records_of_a_bucket_share_writes(monkeypatch):
    monkeypatch.setattr(_bookings, 'BUCKET_COUNT', 1)

    async def script(nursery):
        cluster = Cluster(1, nursery)
        cluster.api.plan.add(
            'put:*', faults.Kind.DELAY, seconds=0.1, times=None
        )
        async with trio.open_nursery() as callers:
            for number in range(50):
                callers.start_soon(cluster.call, 0, f'k{number}', 'ok')
        assert sum(cluster.desk.runs.values()) == 50
        return cluster.api.calls['put']

    assert run(script) <= 6


def test_records_expire_after_the_documented_time():
    async def script(nursery):
        cluster = Cluster(1, nursery)
        await cluster.call(0, 'k', 'ok')
        await trio.sleep(_booking_records.RECORD_TTL_SECONDS - 10)
        assert await cluster.call(1, 'k', 'ok') == b'booked 0'
        await trio.sleep(20)
        attempt = await cluster.nodes[1].begin('canopy', 'k', FINGERPRINT)
        assert isinstance(attempt, _bookings.Attempt)

    run(script)


def test_node_killed_after_its_record_response_was_lost():
    """The record is stored, its response lost, and the caller retries."""

    async def script(nursery):
        cluster = Cluster(1, nursery)
        cluster.api.plan.add('put:bookings/*', faults.Kind.RESPONSE_LOST)
        async with trio.open_nursery() as callers:
            callers.start_soon(
                cluster.nodes[0].begin, 'canopy', 'k', FINGERPRINT
            )
            while not cluster.api.plan.hits:  # noqa: ASYNC110
                await trio.sleep(0.01)
            cluster.kill(0)
            callers.cancel_scope.cancel()
        codes = [await cluster.call(1, 'k', 'ok')]
        await trio.sleep(_booking_records.MAX_RUN_SECONDS + 1)
        cluster.add_node()
        codes.append(await cluster.call(3, 'k', 'ok'))
        assert not cluster.desk.runs
        return codes

    assert run(script) == [
        errors.Code.IN_PROGRESS,
        errors.Code.OUTCOME_UNKNOWN,
    ]
