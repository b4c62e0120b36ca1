"""A booking runs at most once, whatever fails and whoever repeats it."""

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

PRINT = b'same call'


class DoubleRun(Exception):
    """The order desk ran a booking twice, or a promise was not kept."""


class RandomFaults:
    """Strikes calls at random until the weather is calm."""

    KINDS = (
        faults.Kind.DROP,
        faults.Kind.UNAVAILABLE,
        faults.Kind.DELAY,
        faults.Kind.RESPONSE_LOST,
        faults.Kind.SLOW,
        faults.Kind.LATE,
        faults.Kind.STALE,
    )

    def __init__(self, chance, part):
        self.chance = chance
        self.part = part

    def take(self, step):
        if self.chance.random() >= self.part:
            return None
        kind = self.chance.choice(self.KINDS)
        if step.startswith('put') and kind is faults.Kind.STALE:
            kind = faults.Kind.LATE
        return faults.Fault(step, kind, self.chance.choice([0.1, 0.8, 5.0]))


class Desk:
    """Runs bookings and counts them."""

    def __init__(self):
        self.runs = collections.Counter()

    async def book(self, key, number):
        await trio.sleep(0.05)
        self.runs[key] += 1
        if self.runs[key] > 1:
            raise DoubleRun(key)
        return b'booked %d' % number


class Site:
    """Nodes that book at one desk and keep records at one object API."""

    def __init__(self, seed, nursery):
        self.chance = random.Random(seed)
        self.nursery = nursery
        self.api = object_api.MemoryObjectApi()
        self.desk = Desk()
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

    async def call(self, index, key, fate):
        """One caller's call: the answer's body, or the error's code."""
        try:
            return await self._call(index, key, fate)
        except errors.Error as error:
            if error.code is errors.Code.RECORD_UNAVAILABLE:
                assert error.not_run
            return error.code

    async def _call(self, index, key, fate):
        node = self.nodes[index]
        begun = await node.begin('canopy', key, PRINT)
        if isinstance(begun, _dependencies.RecordedOutcome):
            if self.bodies.get(key) != begun.body:
                raise DoubleRun(f'{key} was answered with another outcome')
            return begun.body
        if fate == 'pause':
            await trio.sleep(self.chance.choice([1, 20, 300]))
        if fate == 'die before' or index in self.dead:
            self.kill(index)
            return None
        if fate == 'not run':
            await begun.not_run()
            return None
        body = await self.desk.book(key, next(self.numbers))
        self.bodies[key] = body
        if fate == 'die after' or index in self.dead:
            self.kill(index)
            return None
        await begun.finish(200, [(b'content-type', b'text/plain')], body)
        return body


CALL = st.tuples(
    st.integers(0, 2),
    st.sampled_from(['k0', 'k1', 'k2']),
    st.sampled_from(
        ['ok', 'ok', 'ok', 'not run', 'die before', 'die after', 'pause']
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


def book_all(seed, calls, part=0.4):
    async def script(nursery):
        site = Site(seed, nursery)
        site.api.plan = RandomFaults(site.chance, part)
        async with trio.open_nursery() as callers:
            for index, key, fate, pause in calls:
                callers.start_soon(site.call, index, key, fate)
                await trio.sleep(pause)
        site.api.plan = RandomFaults(site.chance, 0.0)
        await trio.sleep(60)
        site.add_node()
        for key in ('k0', 'k1', 'k2'):
            answer = await site.call(len(site.nodes) - 1, key, 'ok')
            known = key in site.bodies and answer == site.bodies[key]
            unsure = answer is errors.Code.OUTCOME_UNKNOWN
            unsure |= answer is errors.Code.IN_PROGRESS
            if not (known or unsure and site.dead):
                raise DoubleRun(f'{key} came to {answer}')

    run(script)


@hypothesis.settings(
    max_examples=150, derandomize=True, database=None, deadline=None
)
@hypothesis.given(st.integers(0, 999), st.lists(CALL, min_size=2, max_size=14))
def test_no_booking_runs_twice(seed, calls):
    book_all(seed, calls)


def without_fence(patch):
    """A node forgets that its late write may still be on its way."""
    patch.setattr(_booking_records, 'must_write', lambda operation: False)


def dispatch_unrecorded(patch):
    """A record that got no answer counts as written."""
    begin = _bookings.Bookings.begin

    async def naive(bookings, account, key, fingerprint):
        try:
            return await begin(bookings, account, key, fingerprint)
        except errors.Error as error:
            if error.code is not errors.Code.RECORD_UNAVAILABLE:
                raise
            hashed = _bookings.record_key(account, key)
            return _bookings.Attempt(hashed, 'none', bookings)

    patch.setattr(_bookings.Bookings, 'begin', naive)


def retry_started(patch):
    """A record that was started long ago may run again."""
    apply = _booking_records.Begin.apply

    def naive(operation, records):
        found = records.get(operation.key)
        if found is not None and operation.now - found.started_at > 10:
            del records[operation.key]
        return apply(operation, records)

    patch.setattr(_booking_records.Begin, 'apply', naive)


def trust_reads(patch):
    """What was read is acted on, though it may be old: no condition."""

    async def naive(bucket, records, expected):
        current = bucket._api.peek(bucket._name).version
        value = _booking_records.encode(records)
        try:
            await bucket._api.put(bucket._name, value, current)
        except object_api_types.VersionConflict:
            return False
        return True

    patch.setattr(_booking_bucket.BookingBucket, '_put', naive)


@pytest.mark.parametrize(
    'variant', [dispatch_unrecorded, retry_started, trust_reads, without_fence]
)
def test_naive_variant_is_caught(variant, monkeypatch):
    variant(monkeypatch)
    chance = random.Random(4)
    with pytest.raises(DoubleRun):
        for seed in range(400):
            calls = [
                (
                    chance.randrange(3),
                    chance.choice(['k0', 'k1']),
                    chance.choice(['ok', 'ok', 'not run', 'pause']),
                    chance.choice([0.0, 0.03, 0.5, 4.0, 30.0]),
                )
                for _ in range(10)
            ]
            book_all(seed, calls)


def test_repeated_key_gets_the_outcome_or_is_refused():
    async def script(nursery):
        site = Site(1, nursery)
        attempt = await site.nodes[0].begin('canopy', 'k', PRINT)
        with pytest.raises(errors.Error) as progress:
            await site.nodes[1].begin('canopy', 'k', PRINT)
        with pytest.raises(errors.Error) as reused:
            await site.nodes[1].begin('canopy', 'k', b'other')
        other = await site.nodes[1].begin('akwaaba', 'k', b'other')
        await trio.sleep(_booking_records.RUN_TIME + 1)
        with pytest.raises(errors.Error) as unknown:
            await site.nodes[2].begin('canopy', 'k', PRINT)
        await attempt.finish(201, [(b'x', b'y')], b'done')
        outcome = await site.nodes[2].begin('canopy', 'k', PRINT)
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


def test_outage_refuses_in_time_and_the_key_is_free_afterwards():
    async def script(nursery):
        site = Site(1, nursery)
        site.api.plan.add('put:*', faults.Kind.LATE, seconds=3.0, times=None)
        site.api.plan.add('get:*', faults.Kind.STALE, times=3)
        start = trio.current_time()
        code = await site.call(0, 'k', 'ok')
        assert trio.current_time() - start < 4.0
        assert code is errors.Code.RECORD_UNAVAILABLE
        assert not site.desk.runs
        site.api.plan.reset()
        await trio.sleep(10)
        assert await site.call(1, 'k', 'ok') == b'booked 0'

    run(script)


def test_stopping_node_records_what_an_outage_kept_back():
    async def script(nursery):
        site = Site(1, nursery)
        attempt = await site.nodes[0].begin('canopy', 'k', PRINT)
        site.api.plan.add('put:*', faults.Kind.UNAVAILABLE, times=None)
        await attempt.finish(200, [], b'booked')
        site.kill(0)
        site.api.plan.reset()
        assert await site.call(1, 'k', 'ok') is errors.Code.IN_PROGRESS
        await site.nodes[0].flush()
        site.bodies['k'] = b'booked'
        assert await site.call(1, 'k', 'ok') == b'booked'

    run(script)


def test_concurrent_records_of_a_bucket_share_writes(monkeypatch):
    monkeypatch.setattr(_bookings, 'BUCKETS', 1)

    async def script(nursery):
        site = Site(1, nursery)
        site.api.plan.add('put:*', faults.Kind.DELAY, seconds=0.1, times=None)
        async with trio.open_nursery() as callers:
            for number in range(50):
                callers.start_soon(site.call, 0, f'k{number}', 'ok')
        assert sum(site.desk.runs.values()) == 50
        return site.api.calls['put']

    assert run(script) <= 6


def test_records_expire_after_the_documented_time():
    async def script(nursery):
        site = Site(1, nursery)
        await site.call(0, 'k', 'ok')
        await trio.sleep(_booking_records.RECORD_TIME - 10)
        assert await site.call(1, 'k', 'ok') == b'booked 0'
        await trio.sleep(20)
        begun = await site.nodes[1].begin('canopy', 'k', PRINT)
        assert isinstance(begun, _bookings.Attempt)

    run(script)


def test_node_dies_after_a_record_whose_answer_was_lost():
    """The record stands, nobody knows of it, and the caller repeats."""

    async def script(nursery):
        site = Site(1, nursery)
        site.api.plan.add('put:bookings/*', faults.Kind.RESPONSE_LOST)
        async with trio.open_nursery() as callers:
            callers.start_soon(site.nodes[0].begin, 'canopy', 'k', PRINT)
            while not site.api.plan.hits:  # noqa: ASYNC110
                await trio.sleep(0.01)
            site.kill(0)
            callers.cancel_scope.cancel()
        codes = [await site.call(1, 'k', 'ok')]
        await trio.sleep(_booking_records.RUN_TIME + 1)
        site.add_node()
        codes.append(await site.call(3, 'k', 'ok'))
        assert not site.desk.runs
        return codes

    assert run(script) == [
        errors.Code.IN_PROGRESS,
        errors.Code.OUTCOME_UNKNOWN,
    ]
