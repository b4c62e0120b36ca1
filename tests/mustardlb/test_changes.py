import dataclasses
import datetime
import random
import re

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest
import trio
import trio.testing

from mustardlb import changes
from mustardlb import configuration
from mustardlb import contracts
from mustardlb import differences
from mustardlb import errors
from mustardlb import keys
from mustardlb import object_api
from mustardlb import stored_configuration
from mustardlb_standins import faults
from mustardlb_standins import object_api as simulated_api

NOW = datetime.datetime(2026, 1, 2, tzinfo=datetime.UTC)
HEAD_PUT = f'put:{configuration.HEAD_NAME}'
FUZZ = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@dataclasses.dataclass(slots=True)
class RecordingApi(simulated_api.MemoryObjectApi):
    """Records every stored head and delays each call."""

    heads: list[configuration.Head] = dataclasses.field(default_factory=list)
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(1)
    )

    def _write(self, name, value, expected):
        version = simulated_api.MemoryObjectApi._write(
            self, name, value, expected
        )
        if name == configuration.HEAD_NAME:
            self.heads.append(configuration.decode_head(value))
        return version

    async def put(self, name, value, expected):
        await trio.sleep(self.rng.random() / 100)
        return await simulated_api.MemoryObjectApi.put(
            self, name, value, expected
        )

    async def get(self, name):
        await trio.sleep(self.rng.random() / 100)
        return await simulated_api.MemoryObjectApi.get(self, name)


def contract(account, rate):
    return contracts.encode(
        contracts.Contract(account=account, rate=rate, burst=1, models=('m',))
    )


def replace(name, value, based_on=0):
    return changes.Edit(name, lambda stored: value, based_on)


def add_key(account, number):
    record = keys.KeyRecord(f'{number:016x}', account, '0' * 64, NOW)

    def append_record(stored):
        records = keys.decode(stored) if stored else ()
        return keys.encode([*records, record])

    return changes.Edit(f'keys/{account}', append_record, None)


@dataclasses.dataclass
class Operator:
    """One concurrent command of an operator, and its reported outcome."""

    number: int
    account: str
    adds_key: bool
    start_delay: float
    timeout: float
    attempted_ids: list[str] = dataclasses.field(default_factory=list)
    committed: changes.CommittedChange | None = None
    based_on: int | None = None

    async def run(self, api):
        await trio.sleep(self.start_delay)
        with trio.move_on_after(self.timeout) as scope:
            try:
                self.committed = await self.commit(api)
            except changes.Conflict as conflict:
                assert conflict.differences
        if scope.cancelled_caught and self.attempted_ids:
            self.committed = await changes.resolve_outcome(
                api, self.attempted_ids[-1]
            )

    async def commit(self, api):
        if self.adds_key:
            edit = add_key(self.account, self.number)
        else:
            name = f'contract/{self.account}'
            base = await stored_configuration.read_head(api)
            entry = base.head.entries.get(name)
            self.based_on = entry.revision if entry else 0
            await trio.sleep(0.05)
            value = contract(self.account, self.number)
            edit = replace(name, value, self.based_on)
        return await changes.commit(api, [edit], self.attempted_ids.append)

    def check(self, heads):
        """Compare the reported outcome with the stored history."""
        mine = [h for h in heads if h.change in self.attempted_ids]
        if self.committed is None:
            assert mine == [], 'wrong outcome reported: it was committed'
            return
        reported = [self.committed.change]
        assert [h.change for h in mine] == reported, 'wrong outcome reported'
        assert mine[0].revision == self.committed.revision
        if self.based_on is None:
            return
        before = heads[mine[0].revision - 2] if mine[0].revision > 1 else None
        entry = before and before.entries.get(f'contract/{self.account}')
        revision = entry.revision if entry else 0
        assert revision == self.based_on, 'overwrote an unseen change'


OPERATORS = st.lists(
    st.tuples(
        st.sampled_from(['a', 'b']),
        st.booleans(),
        st.sampled_from([0.0, 0.01, 0.3, 1.0]),
        st.sampled_from([0.1, 1.0, 100.0]),
    ),
    min_size=1,
    max_size=6,
)
PLAN = st.lists(
    st.tuples(
        st.sampled_from([HEAD_PUT, HEAD_PUT, 'put:*', 'get:*']),
        st.sampled_from(
            [
                faults.Kind.DROP,
                faults.Kind.UNAVAILABLE,
                faults.Kind.DELAY,
                faults.Kind.RESPONSE_LOST,
                faults.Kind.SLOW,
                faults.Kind.LATE,
                faults.Kind.LATE,
                faults.Kind.STALE,
            ]
        ),
        st.integers(0, 7),
        st.sampled_from([0.0, 0.1, 5.0]),
    ),
    max_size=8,
)


# The source of a derandomized test, with its name and docstring but without
# comments, is its seed: an edit here changes the examples of the search below.
def run_race(drawn, plan, seed):
    """Run operators under faults and check all that they were told."""
    api = RecordingApi(rng=random.Random(seed))
    for step, kind, skip, seconds in plan:
        if kind is faults.Kind.STALE:
            step = 'get:*'
        api.plan.add(step, kind, skip=skip, seconds=seconds)
    operators = [Operator(n, *rest) for n, rest in enumerate(drawn, 1)]

    async def main():
        async with trio.open_nursery() as nursery:
            for operator in operators:
                nursery.start_soon(operator.run, api)
        await trio.sleep(60)  # longer than the delay of any write

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    revisions = [head.revision for head in api.heads]
    assert revisions == list(range(1, len(revisions) + 1))
    for operator in operators:
        operator.check(api.heads)
    check_keys(api, operators)


def check_keys(api, operators):
    """Check that exactly the committed keys are stored, each once."""
    for account in ('a', 'b'):
        entries = api.heads[-1].entries if api.heads else {}
        entry = entries.get(f'keys/{account}')
        value = b''.join(
            api.peek(configuration.PART_PREFIX + part).value
            for part in (entry.parts if entry else ())
        )
        stored = [r.key_id for r in keys.decode(value)] if value else []
        expected = [
            f'{operator.number:016x}'
            for operator in operators
            if operator.account == account
            and operator.adds_key
            and operator.committed
        ]
        assert sorted(stored) == sorted(expected)


# The fault matrix relies on the faults that this test draws, so its source,
# which is its seed, stays unchanged.
@FUZZ
@hypothesis.given(OPERATORS, PLAN, st.integers(0, 9))
def test_what_operators_are_told_is_what_happened(operators, plan, seed):
    run_race(operators, plan, seed)


async def write_without_resolving(api, base, change, entries):
    head = configuration.Head(
        base.head.revision + 1,
        change,
        entries,
        (change, *base.head.recent)[: changes.MAX_RECENT_CHANGES],
    )
    value = configuration.encode_head(head)
    try:
        await api.put(configuration.HEAD_NAME, value, base.version)
    except (object_api.VersionConflict, object_api.ApiUnavailable):
        return False
    return True


async def resolve_by_one_read(api, change):
    base = await stored_configuration.read_head(api)
    if change in base.head.recent:
        return changes.CommittedChange(change, changes.revision_of(change))
    return None


@pytest.mark.parametrize(
    ('function', 'faulty', 'message'),
    [
        (
            '_write_head',
            write_without_resolving,
            'is duplicated|wrong outcome',
        ),
        ('resolve_outcome', resolve_by_one_read, 'wrong outcome'),
        ('_check_base', lambda *_: None, 'overwrote'),
    ],
)
def test_the_history_check_detects_a_faulty_implementation(
    monkeypatch, function, faulty, message
):
    monkeypatch.setattr(changes, function, faulty)
    search = hypothesis.settings(
        FUZZ, max_examples=2000, phases=[hypothesis.Phase.generate]
    )
    given = hypothesis.given(OPERATORS, PLAN, st.integers(0, 9))
    with pytest.raises((AssertionError, ExceptionGroup)) as caught:
        search(given(run_race))()
    assert re.search(message, repr(caught.value))


async def read_head(api):
    return (await stored_configuration.read_head(api)).head


async def test_a_delayed_write_is_committed_exactly_once(
    autojump_clock,
):
    api = RecordingApi()
    # The first put of the head only reads its version; the second writes it.
    api.plan.add(HEAD_PUT, faults.Kind.LATE, skip=1, seconds=20.0)
    edit = replace('contract/a', contract('a', 1))
    committed = await changes.commit(api, [edit])
    await trio.sleep(60)
    head = await read_head(api)
    assert [h.change for h in api.heads].count(committed.change) == 1
    assert head.entries['contract/a'].revision == committed.revision


async def test_resolving_the_outcome_blocks_a_pending_write(autojump_clock):
    api = RecordingApi()
    api.plan.add(HEAD_PUT, faults.Kind.DELAY, skip=1, seconds=30.0)
    attempted_ids = []
    edit = replace('contract/a', contract('a', 1))
    async with trio.open_nursery() as nursery:
        # The write is still in flight when another command resolves it.
        nursery.start_soon(changes.commit, api, [edit], attempted_ids.append)
        await trio.sleep(5)
        assert await changes.resolve_outcome(api, attempted_ids[0]) is None
        nursery.cancel_scope.deadline = trio.current_time() + 60
    # The first command was still running and retried on the new head.
    assert [h.change for h in api.heads].count(attempted_ids[0]) == 0
    assert [h.change for h in api.heads].count(attempted_ids[1]) == 1


async def test_a_conflict_reports_the_differences():
    api = RecordingApi()
    await changes.commit(api, [replace('contract/a', contract('a', 1))])
    with pytest.raises(changes.Conflict) as caught:
        await changes.commit(api, [replace('contract/a', contract('a', 2))])
    assert caught.value.code == errors.Code.CONFLICT
    assert caught.value.revision == 1
    assert caught.value.differences == (
        differences.Difference('contract/a', 'rate', '1', '2'),
    )
    future = replace('contract/a', contract('a', 2), based_on=2)
    with pytest.raises(errors.Error, match='the newest is 1'):
        await changes.commit(api, [future])
    same = replace('contract/a', contract('a', 1))
    assert (await changes.commit(api, [same])).change == ''


async def test_a_change_of_several_objects_is_atomic():
    api = RecordingApi()
    await changes.commit(api, [replace('contract/a', contract('a', 1))])
    both = [
        replace('contract/b', contract('b', 1)),
        replace('contract/a', contract('a', 2)),
    ]
    with pytest.raises(changes.Conflict):
        await changes.commit(api, both)
    assert set((await read_head(api)).entries) == {'contract/a'}
    both[1] = replace('contract/a', None, based_on=1)
    await changes.commit(api, both)
    assert set((await read_head(api)).entries) == {'contract/b'}


async def test_an_invalid_object_is_never_stored():
    api = RecordingApi()
    with pytest.raises(ValueError, match='account'):
        await changes.commit(api, [replace('contract/a', contract('b', 1))])
    assert api.heads == []


async def test_outcome_of_a_change_older_than_the_recent_ones_is_unknown(
    monkeypatch,
):
    monkeypatch.setattr(changes, 'MAX_RECENT_CHANGES', 3)
    api = RecordingApi()
    committed = [
        await changes.commit(api, [add_key('a', number)])
        for number in range(1, 6)
    ]
    assert (
        await changes.resolve_outcome(api, committed[2].change) == committed[2]
    )
    with pytest.raises(errors.Error) as caught:
        await changes.resolve_outcome(api, committed[1].change)
    assert caught.value.code == errors.Code.WRITE_UNKNOWN
    for wrong in ('r9-0123456789abcdef', 'x'):
        with pytest.raises(errors.Error) as caught:
            await changes.resolve_outcome(api, wrong)
        assert caught.value.code == errors.Code.BAD_REQUEST


async def test_a_value_of_several_parts_is_read_back_unchanged():
    api = RecordingApi()
    grants = tuple(f'adapter-{n:06}@1' for n in range(40_000))
    value = contracts.encode(
        contracts.Contract(account='a', rate=1, burst=1, grants=grants)
    )
    await changes.commit(api, [replace('contract/a', value)])
    head = await read_head(api)
    assert len(head.entries['contract/a'].parts) > 1
    stored = await stored_configuration.read_object(api, head, 'contract/a')
    assert msgspec.json.decode(stored) == msgspec.json.decode(value)


class RejectingApi(RecordingApi):
    """Loses the response to the first head, then rejects every call."""

    async def put(self, name, value, expected):
        if self.heads:
            raise object_api.ApiRejected('status 403')
        return await RecordingApi.put(self, name, value, expected)


async def test_a_rejection_while_resolving_leaves_the_outcome_unknown():
    api = RejectingApi()
    api.plan.add(HEAD_PUT, faults.Kind.RESPONSE_LOST, skip=1)
    attempted_ids = []
    edit = replace('contract/a', contract('a', 1))
    for attempt in (
        lambda: changes.commit(api, [edit], attempted_ids.append),
        lambda: changes.resolve_outcome(api, attempted_ids[0]),
    ):
        with pytest.raises(errors.Error) as caught:
            await attempt()
        assert caught.value.code == errors.Code.WRITE_UNKNOWN
    assert [head.change for head in api.heads] == attempted_ids
