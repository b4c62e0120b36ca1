import dataclasses

import builders
import simulated_store

from mustardlb_gateway import _centres
from mustardlb_gateway import _keepers
from mustardlb_gateway import _leases
from mustardlb_gateway import _mirror
from mustardlb_gateway import _targets
from mustardlb_gateway import ports


class TranslationStub:
    def read_target(self, name, spec):
        return spec


class PeersStub:
    def __init__(self):
        self.others = {'vm2'}

    def alive(self):
        return self.others

    def has_quorum(self):
        return True


class World:
    def __init__(self, engines, loads_per_second=4.0):
        self.now = 100.0
        self.mirror = _mirror.Mirror('servers')
        targets = _targets.TargetTable(
            self.mirror, TranslationStub(), lambda: self.now
        )
        listed = [
            builders.make_target(f't{number}') for number in range(engines)
        ]
        self.mirror.replace_all(
            [ports.StoredObject(each.target_id, 1, each) for each in listed],
            1,
        )
        self.target = listed[0]
        service = dataclasses.replace(
            builders.make_service(),
            engine=builders.make_engine(loads_per_second=loads_per_second),
        )
        self.peers = PeersStub()
        leases = _leases.Leases(
            'vm1',
            1,
            simulated_store.SimulatedStore(),
            lambda: self.now,
            lambda: 3.0,
            lambda: True,
        )
        self.keepers = _keepers.Keepers(
            'vm1',
            leases,
            None,
            targets,
            self.peers,
            lambda: self.now,
            lambda name: service,
            lambda adapter: 0,
        )

    def hear(self, fence=1, is_acting=True, resident=(), room=2):
        holding = _centres.Holding(
            't0',
            fence,
            1,
            is_acting,
            {builders.adapter(name): 1 for name in ('', *resident)},
            room,
        )
        centre = _centres.CentreState(holdings={('vm2', 't0'): holding})
        self.keepers.hear({'a': centre})


def test_few_engines_load_their_models_at_once():
    world = World(engines=9, loads_per_second=4.0)
    chosen = [world.keepers._model_for(world.target) for _ in range(9)]
    assert chosen == [builders.MODEL] * 9


def test_many_engines_stay_within_the_rate_of_the_weight_store():
    world = World(engines=40, loads_per_second=2.0)
    begun = 0
    for _ in range(1000):
        if world.keepers._model_for(world.target) is not None:
            begun += 1
        world.now += 0.05
    # Two nodes share 80% of two loads a second, over 50 s.
    assert begun <= 50 * 2.0 * 0.8 / 2 + 1


def test_what_the_keeper_tells_goes_before_the_entry():
    world = World(engines=1)
    assert builders.adapter('a1') not in world.keepers.resident(world.target)
    assert not world.keepers.is_kept('t0')
    world.hear(resident=['a1'])
    assert builders.adapter('a1') in world.keepers.resident(world.target)
    assert world.keepers.is_kept('t0')
    assert world.keepers.room('t0') == 2
    assert world.keepers.was_held('t0', builders.adapter('a1'))


def test_keeper_that_is_silent_is_no_keeper():
    world = World(engines=1)
    world.hear(resident=['a1'])
    world.peers.others = set()
    assert not world.keepers.is_kept('t0')
    assert builders.adapter('a1') not in world.keepers.resident(world.target)


def test_keeper_of_the_engine_before_its_restart_is_not_believed():
    world = World(engines=1)
    world.hear(resident=['a1'])
    later = dataclasses.replace(world.target, incarnation=2)
    assert builders.adapter('a1') not in world.keepers.resident(later)
