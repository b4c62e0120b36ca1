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
from mustardlb_standins import object_api as standin

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
class RecordingApi(standin.MemoryObjectApi):
    """Keeps every head that was ever stored, and takes time for calls."""

    heads: list[configuration.Head] = dataclasses.field(default_factory=list)
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(1)
    )

    def _write(self, name, value, expected):
        version = standin.MemoryObjectApi._write(self, name, value, expected)
        if name == configuration.HEAD_NAME:
            self.heads.append(configuration.decode_head(value))
        return version

    async def put(self, name, value, expected):
        await trio.sleep(self.rng.random() / 100)
        return await standin.MemoryObjectApi.put(self, name, value, expected)

    async def get(self, name):
        await trio.sleep(self.rng.random() / 100)
        return await standin.MemoryObjectApi.get(self, name)


def contract(account, rate):
    return contracts.encode(
        contracts.Contract(account=account, rate=rate, burst=1, models=('m',))
    )


def replace(name, value, based_on=0):
    return changes.Edit(name, lambda stored: value, based_on)


def add_key(account, number):
    record = keys.KeyRecord(f'{number:016x}', account, '0' * 64, NOW)

    def make(stored):
        records = keys.decode(stored) if stored else ()
        return keys.encode([*records, record])

    return changes.Edit(f'keys/{account}', make, None)


@dataclasses.dataclass
class Operator:
    """One command: what it is to do, and what it was told."""

    number: int
    account: str
    adds_key: bool
    start: float
    patience: float
    announced: list[str] = dataclasses.field(default_factory=list)
    landed: changes.CommittedChange | None = None
    based_on: int | None = None

    async def run(self, api):
        await trio.sleep(self.start)
        with trio.move_on_after(self.patience) as patience:
            try:
                self.landed = await self.commit(api)
            except changes.Conflict as conflict:
                assert conflict.differences
        if patience.cancelled_caught and self.announced:
            self.landed = await changes.resolve_outcome(
                api, self.announced[-1]
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
        return await changes.commit(api, [edit], self.announced.append)

    def check(self, heads):
        """Compare with the history what the operator was told."""
        mine = [h for h in heads if h.change in self.announced]
        if self.landed is None:
            assert mine == [], 'told wrongly: it landed'
            return
        told = [self.landed.change]
        assert [h.change for h in mine] == told, 'told wrongly'
        assert mine[0].revision == self.landed.revision
        if self.based_on is None:
            return
        before = heads[mine[0].revision - 2] if mine[0].revision > 1 else None
        entry = before and before.entries.get(f'contract/{self.account}')
        revision = entry.revision if entry else 0
        assert revision == self.based_on, 'overwritten unseen'


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
                faults.Kind.ANSWER_LOST,
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
        await trio.sleep(60)  # every write that is late has landed

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    revisions = [head.revision for head in api.heads]
    assert revisions == list(range(1, len(revisions) + 1))
    for operator in operators:
        operator.check(api.heads)
    check_keys(api, operators)


def check_keys(api, operators):
    """Each key whose issue landed is stored once, and no other is."""
    for account in ('a', 'b'):
        entries = api.heads[-1].entries if api.heads else {}
        entry = entries.get(f'keys/{account}')
        value = b''.join(
            api.peek(configuration.PART_PREFIX + part).value
            for part in (entry.parts if entry else ())
        )
        stored = [r.key_id for r in keys.decode(value)] if value else []
        expected = [
            f'{one.number:016x}'
            for one in operators
            if one.account == account and one.adds_key and one.landed
        ]
        assert sorted(stored) == sorted(expected)


@FUZZ
@hypothesis.given(OPERATORS, PLAN, st.integers(0, 9))
def test_what_operators_are_told_is_what_happened(operators, plan, seed):
    run_race(operators, plan, seed)


async def retry_blindly(api, base, change, entries):
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


async def settle_by_one_look(api, change):
    base = await stored_configuration.read_head(api)
    if change in base.head.recent:
        return changes.CommittedChange(change, changes.revision_of(change))
    return None


@pytest.mark.parametrize(
    ('function', 'naive', 'seen'),
    [
        ('_write_head', retry_blindly, 'is there twice|told wrongly'),
        ('resolve_outcome', settle_by_one_look, 'told wrongly'),
        ('_check_base', lambda *_: None, 'overwritten'),
    ],
)
def test_the_race_notices_a_naive_way(monkeypatch, function, naive, seen):
    monkeypatch.setattr(changes, function, naive)
    search = hypothesis.settings(
        FUZZ, max_examples=2000, phases=[hypothesis.Phase.generate]
    )
    given = hypothesis.given(OPERATORS, PLAN, st.integers(0, 9))
    with pytest.raises((AssertionError, ExceptionGroup)) as caught:
        search(given(run_race))()
    assert re.search(seen, repr(caught.value))


async def head_of(api):
    return (await stored_configuration.read_head(api)).head


async def test_a_late_write_lands_never_after_it_was_reported_so(
    autojump_clock,
):
    api = RecordingApi()
    # The read is the first call of the head's put, the write the second.
    api.plan.add(HEAD_PUT, faults.Kind.LATE, skip=1, seconds=20.0)
    edit = replace('contract/a', contract('a', 1))
    landed = await changes.commit(api, [edit])
    await trio.sleep(60)
    head = await head_of(api)
    assert [h.change for h in api.heads].count(landed.change) == 1
    assert head.entries['contract/a'].revision == landed.revision


async def test_settling_does_not_leave_a_late_write_a_chance(autojump_clock):
    api = RecordingApi()
    api.plan.add(HEAD_PUT, faults.Kind.DELAY, skip=1, seconds=30.0)
    announced = []
    edit = replace('contract/a', contract('a', 1))
    async with trio.open_nursery() as nursery:
        # The operator's connection is cut, the write is still under way.
        nursery.start_soon(changes.commit, api, [edit], announced.append)
        await trio.sleep(5)
        assert await changes.resolve_outcome(api, announced[0]) is None
        nursery.cancel_scope.deadline = trio.current_time() + 60
    # The command was still there, and tried again from the new head.
    assert [h.change for h in api.heads].count(announced[0]) == 0
    assert [h.change for h in api.heads].count(announced[1]) == 1


async def test_the_loser_is_told_what_differs():
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


async def test_one_change_holds_all_of_its_objects_or_none():
    api = RecordingApi()
    await changes.commit(api, [replace('contract/a', contract('a', 1))])
    both = [
        replace('contract/b', contract('b', 1)),
        replace('contract/a', contract('a', 2)),
    ]
    with pytest.raises(changes.Conflict):
        await changes.commit(api, both)
    assert set((await head_of(api)).entries) == {'contract/a'}
    both[1] = replace('contract/a', None, based_on=1)
    await changes.commit(api, both)
    assert set((await head_of(api)).entries) == {'contract/b'}


async def test_what_nodes_would_refuse_is_never_stored():
    api = RecordingApi()
    with pytest.raises(ValueError, match='account'):
        await changes.commit(api, [replace('contract/a', contract('b', 1))])
    assert api.heads == []


async def test_a_change_past_the_remembered_ones_is_unknown(monkeypatch):
    monkeypatch.setattr(changes, 'MAX_RECENT_CHANGES', 3)
    api = RecordingApi()
    landed = [
        await changes.commit(api, [add_key('a', number)])
        for number in range(1, 6)
    ]
    assert await changes.resolve_outcome(api, landed[2].change) == landed[2]
    with pytest.raises(errors.Error) as caught:
        await changes.resolve_outcome(api, landed[1].change)
    assert caught.value.code == errors.Code.WRITE_UNKNOWN
    for wrong in ('r9-0123456789abcdef', 'x'):
        with pytest.raises(errors.Error) as caught:
            await changes.resolve_outcome(api, wrong)
        assert caught.value.code == errors.Code.BAD_REQUEST


async def test_a_value_of_several_parts_comes_back_whole():
    api = RecordingApi()
    grants = tuple(f'adapter-{n:06}@1' for n in range(40_000))
    value = contracts.encode(
        contracts.Contract(account='a', rate=1, burst=1, grants=grants)
    )
    await changes.commit(api, [replace('contract/a', value)])
    head = await head_of(api)
    assert len(head.entries['contract/a'].parts) > 1
    stored = await stored_configuration.read_object(api, head, 'contract/a')
    assert msgspec.json.decode(stored) == msgspec.json.decode(value)


class RefusingApi(RecordingApi):
    """Loses the answer to the first head, then refuses every call."""

    async def put(self, name, value, expected):
        if self.heads:
            raise object_api.ApiRejected('status 403')
        return await RecordingApi.put(self, name, value, expected)


async def test_a_refusal_while_settling_leaves_the_fate_unknown():
    api = RefusingApi()
    api.plan.add(HEAD_PUT, faults.Kind.ANSWER_LOST, skip=1)
    announced = []
    edit = replace('contract/a', contract('a', 1))
    for attempt in (
        lambda: changes.commit(api, [edit], announced.append),
        lambda: changes.resolve_outcome(api, announced[0]),
    ):
        with pytest.raises(errors.Error) as caught:
            await attempt()
        assert caught.value.code == errors.Code.WRITE_UNKNOWN
    assert [head.change for head in api.heads] == announced
