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


class Harness:
    def __init__(self, *targets, engine=True):
        self.now = 0.0
        clock = lambda: self.now  # noqa: E731
        mirror = _mirror.Mirror('servers')
        self.table = _targets.TargetTable(mirror, TranslationStub(), clock)
        mirror.adopt(
            [ports.StoredObject(each.target_id, 1, each) for each in targets],
            1,
        )
        self.prefix_index = _prefix_index.PrefixIndex(clock)
        self.kept = {target.target_id for target in targets}
        self.lately = set()
        self.rooms = {}
        self.placement = _placement.Placement(
            self.table,
            self.prefix_index,
            lambda target: target.resident,
            lambda target_id: target_id in self.kept,
            lambda target_id, adapter: (target_id, adapter) in self.lately,
            lambda target_id: self.rooms.get(target_id, 3),
        )
        self.service = builders.make_service(engine=engine)

    def choose(
        self, call=None, version=0, newest=0, without=(), time_to_objective=1e9
    ):
        choice = self.placement.choose(
            _placement.PlacementRequest(
                self.service,
                call or builders.make_call(),
                version,
                newest,
                frozenset(without),
                time_to_objective=time_to_objective,
            )
        )
        return choice and (choice.target.target_id, choice.must_load)


def three_targets(resident=('a1', 'a1', 'a1')):
    return [
        builders.make_target(f't{number}', resident=[name])
        for number, name in enumerate(resident)
    ]


def test_target_with_the_adapter_is_preferred():
    harness = Harness(*three_targets(['a2', 'a1', 'a2']))
    assert harness.choose() == ('t1', False)


def test_least_loaded_of_those_that_hold_it():
    harness = Harness(*three_targets())
    harness.table.begin_request('t0', None, 50_000)
    harness.table.begin_request('t2', None, 20_000)
    assert harness.choose() == ('t1', False)


def test_much_busier_holder_is_worth_a_copy():
    harness = Harness(*three_targets(['a1', 'a2', 'a2']))
    harness.table.begin_request('t0', None, 200_000)
    target, must_load = harness.choose()
    assert target in ('t1', 't2')
    assert must_load


@pytest.mark.parametrize(
    ('time_to_objective', 'must_load'),
    [(1.0, True), (0.3, False), (5.0, False), (-0.5, False)],
)
def test_copy_is_made_where_it_keeps_an_answer_on_time(
    time_to_objective, must_load
):
    harness = Harness(*three_targets(['a1', 'a2', 'a2']))
    # The holder reads for 0.7 s before this prompt.
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


def test_engine_that_held_it_lately_is_preferred():
    for chosen in ('t0', 't1', 't2'):
        harness = Harness(*three_targets(['x', 'y', 'z']))
        harness.lately = {(chosen, builders.adapter('a1'))}
        assert harness.choose() == (chosen, True)


def test_engine_without_a_keeper_gets_no_new_adapter():
    harness = Harness(*three_targets(['x', 'y', 'z']))
    harness.kept = {'t2'}
    assert harness.choose() == ('t2', True)
    harness.kept = set()
    assert harness.choose() is None


def test_engine_without_room_is_not_waited_for_while_another_has_some():
    harness = Harness(*three_targets(['x', 'y', 'z']))
    first, _ = harness.choose()
    harness.rooms = {first: -1}
    second, must_load = harness.choose()
    assert second != first
    assert must_load


def test_engine_without_the_model_does_not_serve():
    bare = dataclasses.replace(builders.make_target('t0'), resident={})
    assert Harness(bare).choose() is None


def test_prompt_that_was_read_there_counts_less():
    harness = Harness(*three_targets())
    call = builders.make_call(prompt=9000, parts=[('p', 8000), ('own', 1000)])
    harness.prefix_index.record('t2', call)
    for target in ('t0', 't1'):
        harness.table.begin_request(target, None, 1)
    later = builders.make_call(
        prompt=9000, parts=[('p', 8000), ('other', 1000)]
    )
    harness.table.begin_request('t2', None, 5000)
    assert harness.choose(later) == ('t2', False)


def test_prompt_parts_count_only_up_to_the_first_that_lacks():
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


def test_old_version_serves_only_while_it_may():
    harness = Harness(*three_targets(['a1', 'x', 'x']))
    harness.kept = set()
    assert harness.choose(newest=2) == ('t0', False)
    assert harness.choose(version=2, newest=2) is None
    harness.kept = {'t0', 't1', 't2'}
    target, must_load = harness.choose(version=2, newest=2)
    assert must_load
    assert target in ('t1', 't2')


def test_newer_version_is_put_on_another_engine_first():
    harness = Harness(*three_targets(['a1', 'x', 'x']))
    harness.table.begin_request('t0', builders.adapter('a1'), 0)
    target, must_load = harness.choose(newest=2)
    assert must_load
    assert target in ('t1', 't2')


def test_target_that_fails_is_left_alone_while_others_serve():
    harness = Harness(*three_targets())
    for _ in range(_targets.FAILURES_TO_SUSPEND):
        harness.table.record_failure('t0', 'x')
        harness.table.record_failure('t1', 'x')
    assert harness.choose() == ('t2', False)
    for _ in range(_targets.FAILURES_TO_SUSPEND):
        harness.table.record_failure('t2', 'x')
    assert harness.choose() is not None


def test_plain_targets_are_chosen_by_how_full_they_are():
    harness = Harness(*three_targets(), engine=False)
    for target in ('t0', 't0', 't1', 't1'):
        harness.table.begin_request(target, None, 0)
    assert harness.choose() == ('t2', False)
    assert harness.choose(without=['t2'])[0] in ('t0', 't1')


@pytest.mark.parametrize('service', [True, False])
def test_without_targets_there_is_no_choice(service):
    assert Harness(engine=service).choose() is None
