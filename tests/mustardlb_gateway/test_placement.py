import dataclasses

import builders
import pytest

from mustardlb_gateway import _mirror
from mustardlb_gateway import _placement
from mustardlb_gateway import _prefix_index
from mustardlb_gateway import _targets
from mustardlb_gateway import ports


class TranslationStub:
    def read_target(self, name, spec):
        return spec


class ReportsStub:
    def __init__(self):
        self.slowdowns = {}

    def slowdown(self, target):
        return self.slowdowns.get(target.target_id)

    def requests(self, target, told):
        return told


class Harness:
    def __init__(self, *targets, engine=True):
        self.now = 0.0
        self.reports = ReportsStub()
        clock = lambda: self.now  # noqa: E731
        mirror = _mirror.Mirror('servers')
        self.table = _targets.TargetTable(mirror, TranslationStub(), clock)
        mirror.replace_all(
            [ports.StoredObject(each.target_id, 1, each) for each in targets],
            1,
        )
        self.prefix_index = _prefix_index.PrefixIndex(clock)
        self.controlled = {target.target_id for target in targets}
        self.recently_resident = set()
        self.free_slots_by_id = {}
        self.placement = _placement.Placement(
            self.table,
            self.prefix_index,
            lambda target: target.resident,
            lambda target_id: target_id in self.controlled,
            lambda target_id, adapter: (
                (target_id, adapter) in self.recently_resident
            ),
            lambda target_id: self.free_slots_by_id.get(target_id, 3),
            reported_loads=self.reports,
        )
        self.service = builders.make_service(engine=engine)

    def choose(
        self,
        call=None,
        version=0,
        newest=0,
        excluded=(),
        time_to_objective=1e9,
    ):
        choice = self.placement.choose(
            _placement.PlacementRequest(
                self.service,
                call or builders.make_call(),
                version,
                newest,
                frozenset(excluded),
                time_to_objective=time_to_objective,
            )
        )
        return choice and (choice.target.target_id, choice.must_load)


def three_targets(resident=('a1', 'a1', 'a1')):
    return [
        builders.make_target(f't{number}', resident=[name])
        for number, name in enumerate(resident)
    ]


def test_engine_with_the_adapter_is_preferred():
    harness = Harness(*three_targets(['a2', 'a1', 'a2']))
    assert harness.choose() == ('t1', False)


def test_least_loaded_engine_with_the_adapter_is_chosen():
    harness = Harness(*three_targets())
    harness.table.begin_request('t0', None, 50_000)
    harness.table.begin_request('t2', None, 20_000)
    assert harness.choose() == ('t1', False)


# An engine whose machine is slow takes longer for the prompts before this one.
def test_slow_engine_is_avoided():
    harness = Harness(*three_targets())
    harness.table.begin_request('t0', None, 20_000)
    harness.table.begin_request('t1', None, 30_000)
    harness.table.begin_request('t2', None, 40_000)
    harness.reports.slowdowns = {'t0': 4.0, 't1': 1.0}
    assert harness.choose() == ('t1', False)
    harness.reports.slowdowns = {'t0': 4.0, 't1': 4.0}
    assert harness.choose() == ('t2', False)


def test_adapter_is_copied_if_its_engine_is_much_busier():
    harness = Harness(*three_targets(['a1', 'a2', 'a2']))
    harness.table.begin_request('t0', None, 200_000)
    target, must_load = harness.choose()
    assert target in ('t1', 't2')
    assert must_load


@pytest.mark.parametrize(
    ('time_to_objective', 'must_load'),
    [(1.0, True), (0.3, False), (5.0, False), (-0.5, False)],
)
def test_adapter_is_copied_if_that_meets_the_objective(
    time_to_objective, must_load
):
    harness = Harness(*three_targets(['a1', 'a2', 'a2']))
    # The engine with the adapter prefills other prompts for 0.7 s first.
    harness.table.begin_request('t0', None, 26_600)
    chosen = harness.choose(
        builders.make_call('a1'), time_to_objective=time_to_objective
    )
    assert chosen[1] == must_load


def test_new_copies_of_an_adapter_go_to_the_same_engine():
    harnesses = [Harness(*three_targets(['x', 'y', 'z'])) for _ in range(3)]
    assert len({harness.choose() for harness in harnesses}) == 1
    spread = {
        harnesses[0].choose(builders.make_call(f'b{number}'))
        for number in range(30)
    }
    assert len(spread) == 3


def test_engine_with_recently_resident_adapter_is_preferred():
    for chosen in ('t0', 't1', 't2'):
        harness = Harness(*three_targets(['x', 'y', 'z']))
        harness.recently_resident = {(chosen, builders.adapter('a1'))}
        assert harness.choose() == (chosen, True)


def test_engine_without_a_controller_gets_no_load():
    harness = Harness(*three_targets(['x', 'y', 'z']))
    harness.controlled = {'t2'}
    assert harness.choose() == ('t2', True)
    harness.controlled = set()
    assert harness.choose() is None


def test_full_engine_is_avoided_if_another_has_free_slots():
    harness = Harness(*three_targets(['x', 'y', 'z']))
    first, _ = harness.choose()
    harness.free_slots_by_id = {first: -1}
    second, must_load = harness.choose()
    assert second != first
    assert must_load


def test_engine_without_the_model_is_not_chosen():
    bare = dataclasses.replace(builders.make_target('t0'), resident={})
    assert Harness(bare).choose() is None


def test_engine_with_cached_prefix_is_preferred():
    harness = Harness(*three_targets())
    call = builders.make_call(prompt=9000, parts=[('p', 8000), ('own', 1000)])
    harness.prefix_index.record('t2', call)
    for target in ('t0', 't1'):
        harness.table.begin_request(target, None, 1)
    similar = builders.make_call(
        prompt=9000, parts=[('p', 8000), ('other', 1000)]
    )
    harness.table.begin_request('t2', None, 5000)
    assert harness.choose(similar) == ('t2', False)


def test_cached_parts_count_up_to_the_first_miss():
    now = [0.0]
    prefix_index = _prefix_index.PrefixIndex(lambda: now[0])
    prefix_index.record(
        't', builders.make_call(parts=[('a', 300), ('b', 300)])
    )
    other = builders.make_call(parts=[('x', 300), ('b', 300)])
    assert prefix_index.uncached_tokens('t', other) == 1000
    longer = builders.make_call(parts=[('a', 300), ('c', 300)])
    assert prefix_index.uncached_tokens('t', longer) == 700
    assert prefix_index.uncached_tokens('t', builders.make_call('a2')) == 1000
    now[0] = _prefix_index.PREFIX_TTL_SECONDS + 1
    assert prefix_index.uncached_tokens('t', longer) == 1000


def test_old_version_is_used_only_if_permitted():
    harness = Harness(*three_targets(['a1', 'x', 'x']))
    harness.controlled = set()
    assert harness.choose(newest=2) == ('t0', False)
    assert harness.choose(version=2, newest=2) is None
    harness.controlled = {'t0', 't1', 't2'}
    target, must_load = harness.choose(version=2, newest=2)
    assert must_load
    assert target in ('t1', 't2')


def test_newer_version_is_loaded_on_another_engine():
    harness = Harness(*three_targets(['a1', 'x', 'x']))
    harness.table.begin_request('t0', builders.adapter('a1'), 0)
    target, must_load = harness.choose(newest=2)
    assert must_load
    assert target in ('t1', 't2')


def test_suspended_target_is_chosen_only_as_a_last_resort():
    harness = Harness(*three_targets())
    for _ in range(_targets.FAILURES_TO_SUSPEND):
        harness.table.record_failure('t0', 'x')
        harness.table.record_failure('t1', 'x')
    assert harness.choose() == ('t2', False)
    for _ in range(_targets.FAILURES_TO_SUSPEND):
        harness.table.record_failure('t2', 'x')
    assert harness.choose() is not None


def test_plain_targets_are_chosen_by_load():
    harness = Harness(*three_targets(), engine=False)
    for target in ('t0', 't0', 't1', 't1'):
        harness.table.begin_request(target, None, 0)
    assert harness.choose() == ('t2', False)
    assert harness.choose(excluded=['t2'])[0] in ('t0', 't1')


@pytest.mark.parametrize('service', [True, False])
def test_no_target_is_chosen_if_none_is_registered(service):
    assert Harness(engine=service).choose() is None


@pytest.mark.parametrize(
    ('running', 'chosen'), [(0, 't1'), (1, 't1'), (8, 't0')]
)
def test_plain_target_in_the_same_data_centre_is_preferred(
    monkeypatch, running, chosen
):
    monkeypatch.setattr(_placement.random, 'random', lambda: 0.5)
    targets = [
        builders.make_target(f't{number}', slots=8, data_centre=centre)
        for number, centre in enumerate('ab')
    ]
    harness = Harness(*targets, engine=False)
    harness.placement._data_centre = 'b'
    for _ in range(running):
        harness.table.begin_request('t1', None, 0)
    call = builders.make_call(None)
    assert harness.choose(call) == (chosen, False)


def test_age_of_loads_leads_to_no_copy():
    harness = Harness(*three_targets(['a1', 'a2', 'a2']))
    harness.placement._load_age = lambda: 2.0
    assert {harness.choose() for _ in range(200)} == {('t0', False)}


def test_age_of_loads_spreads_calls_over_engines_with_the_adapter():
    harness = Harness(*three_targets())
    harness.table.begin_request('t0', None, 10_000)
    assert harness.choose() != ('t0', False)
    harness.placement._load_age = lambda: 2.0
    chosen = {harness.choose() for _ in range(200)}
    assert chosen == {(f't{number}', False) for number in range(3)}


def test_longest_queue_is_up_to_the_next_engine():
    harness = Harness(*three_targets())
    harness.table.begin_request('t1', None, 19_000)
    harness.table.begin_request('t2', None, 38_000)
    harness.placement._load_age = lambda: 1.0
    harness.placement._spread = lambda request, choice: 0.0
    choice = harness.placement.choose(
        _placement.PlacementRequest(
            harness.service, builders.make_call(), 0, 0, frozenset()
        )
    )
    assert choice.target.target_id == 't0'
    assert choice.max_queue == pytest.approx(0.5)


def test_new_adapter_stays_with_its_engine_while_that_is_busier():
    harness = Harness(*three_targets(['a2', 'a2', 'a2']))
    choice = harness.placement.choose(
        _placement.PlacementRequest(
            harness.service, builders.make_call(), 0, 0, frozenset()
        )
    )
    assert choice.must_load
    assert choice.max_queue == float('inf')
