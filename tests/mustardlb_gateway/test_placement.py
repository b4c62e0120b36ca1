import dataclasses

import builders
import pytest

from mustardlb_gateway import _mirror
from mustardlb_gateway import _placement
from mustardlb_gateway import _prefixes
from mustardlb_gateway import _targets
from mustardlb_gateway import ports


class TranslationStub:
    def read_target(self, name, spec):
        return spec


class World:
    def __init__(self, *targets, engine=True):
        self.now = 0.0
        clock = lambda: self.now  # noqa: E731
        mirror = _mirror.Mirror('servers')
        self.table = _targets.TargetTable(mirror, TranslationStub(), clock)
        mirror.replace_all(
            [ports.StoredObject(each.target_id, 1, each) for each in targets],
            1,
        )
        self.prefixes = _prefixes.PrefixMemory(clock)
        self.kept = {target.target_id for target in targets}
        self.lately = set()
        self.rooms = {}
        self.placement = _placement.Placement(
            self.table,
            self.prefixes,
            lambda target: target.resident,
            lambda target_id: target_id in self.kept,
            lambda target_id, adapter: (target_id, adapter) in self.lately,
            lambda target_id: self.rooms.get(target_id, 3),
        )
        self.service = builders.make_service(engine=engine)

    def choose(
        self, call=None, version=0, newest=0, without=(), time_left=1e9
    ):
        choice = self.placement.choose(
            _placement.Wish(
                self.service,
                call or builders.make_call(),
                version,
                newest,
                frozenset(without),
                time_left=time_left,
            )
        )
        return choice and (choice.target.target_id, choice.must_load)


def three(resident=('a1', 'a1', 'a1')):
    return [
        builders.make_target(f't{number}', resident=[name])
        for number, name in enumerate(resident)
    ]


def test_target_with_the_adapter_is_preferred():
    world = World(*three(['a2', 'a1', 'a2']))
    assert world.choose() == ('t1', False)


def test_least_loaded_of_those_that_hold_it():
    world = World(*three())
    world.table.begin('t0', None, 50_000)
    world.table.begin('t2', None, 20_000)
    assert world.choose() == ('t1', False)


def test_much_busier_holder_is_worth_a_copy():
    world = World(*three(['a1', 'a2', 'a2']))
    world.table.begin('t0', None, 200_000)
    target, must_load = world.choose()
    assert target in ('t1', 't2')
    assert must_load


@pytest.mark.parametrize(
    ('time_left', 'must_load'),
    [(1.0, True), (0.3, False), (5.0, False), (-0.5, False)],
)
def test_copy_is_made_where_it_keeps_an_answer_on_time(time_left, must_load):
    world = World(*three(['a1', 'a2', 'a2']))
    # The holder reads for 0.7 s before this prompt.
    world.table.begin('t0', None, 26_600)
    chosen = world.choose(builders.make_call('a1'), time_left=time_left)
    assert chosen[1] == must_load


def test_new_copies_of_an_adapter_go_to_the_same_engine():
    worlds = [World(*three(['x', 'y', 'z'])) for _ in range(3)]
    assert len({world.choose() for world in worlds}) == 1
    spread = {
        worlds[0].choose(builders.make_call(f'b{number}'))
        for number in range(30)
    }
    assert len(spread) == 3


def test_engine_that_held_it_lately_is_preferred():
    for chosen in ('t0', 't1', 't2'):
        world = World(*three(['x', 'y', 'z']))
        world.lately = {(chosen, builders.adapter('a1'))}
        assert world.choose() == (chosen, True)


def test_engine_without_a_keeper_gets_no_new_adapter():
    world = World(*three(['x', 'y', 'z']))
    world.kept = {'t2'}
    assert world.choose() == ('t2', True)
    world.kept = set()
    assert world.choose() is None


def test_engine_without_room_is_not_waited_for_while_another_has_some():
    world = World(*three(['x', 'y', 'z']))
    first, _ = world.choose()
    world.rooms = {first: -1}
    second, must_load = world.choose()
    assert second != first
    assert must_load


def test_engine_without_the_model_does_not_serve():
    bare = dataclasses.replace(builders.make_target('t0'), resident={})
    assert World(bare).choose() is None


def test_prompt_that_was_read_there_counts_less():
    world = World(*three())
    call = builders.make_call(prompt=9000, parts=[('p', 8000), ('own', 1000)])
    world.prefixes.note('t2', call)
    for target in ('t0', 't1'):
        world.table.begin(target, None, 1)
    later = builders.make_call(
        prompt=9000, parts=[('p', 8000), ('other', 1000)]
    )
    world.table.begin('t2', None, 5000)
    assert world.choose(later) == ('t2', False)


def test_prompt_parts_count_only_up_to_the_first_that_lacks():
    now = [0.0]
    prefixes = _prefixes.PrefixMemory(lambda: now[0])
    prefixes.note('t', builders.make_call(parts=[('a', 300), ('b', 300)]))
    other = builders.make_call(parts=[('x', 300), ('b', 300)])
    assert prefixes.unread('t', other) == 1000
    longer = builders.make_call(parts=[('a', 300), ('c', 300)])
    assert prefixes.unread('t', longer) == 700
    assert prefixes.unread('t', builders.make_call('a2')) == 1000
    now[0] = _prefixes.KEPT_FOR + 1
    assert prefixes.unread('t', longer) == 1000


def test_old_version_serves_only_while_it_may():
    world = World(*three(['a1', 'x', 'x']))
    world.kept = set()
    assert world.choose(newest=2) == ('t0', False)
    assert world.choose(version=2, newest=2) is None
    world.kept = {'t0', 't1', 't2'}
    target, must_load = world.choose(version=2, newest=2)
    assert must_load
    assert target in ('t1', 't2')


def test_newer_version_is_put_on_another_engine_first():
    world = World(*three(['a1', 'x', 'x']))
    world.table.begin('t0', builders.adapter('a1'), 0)
    target, must_load = world.choose(newest=2)
    assert must_load
    assert target in ('t1', 't2')


def test_target_that_fails_is_left_alone_while_others_serve():
    world = World(*three())
    for _ in range(_targets.FAILURES_TO_SUSPEND):
        world.table.note_failure('t0', 'x')
        world.table.note_failure('t1', 'x')
    assert world.choose() == ('t2', False)
    for _ in range(_targets.FAILURES_TO_SUSPEND):
        world.table.note_failure('t2', 'x')
    assert world.choose() is not None


def test_plain_targets_are_chosen_by_how_full_they_are():
    world = World(*three(), engine=False)
    for target in ('t0', 't0', 't1', 't1'):
        world.table.begin(target, None, 0)
    assert world.choose() == ('t2', False)
    assert world.choose(without=['t2'])[0] in ('t0', 't1')


@pytest.mark.parametrize('service', [True, False])
def test_without_targets_there_is_no_choice(service):
    assert World(engine=service).choose() is None
