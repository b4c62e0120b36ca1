import builders
import pytest

from mustardlb_gateway import _centres
from mustardlb_gateway import _mirror
from mustardlb_gateway import _targets
from mustardlb_gateway import domain
from mustardlb_gateway import ports

DRAINING = domain.TargetState.DRAINING


class TranslationStub:
    def read_target(self, name, spec):
        return spec


class World:
    def __init__(self):
        self.now = 100.0
        self.mirror = _mirror.Mirror('servers')
        self.mirror.is_connected = True
        self.table = _targets.TargetTable(
            self.mirror, TranslationStub(), lambda: self.now
        )
        self.gone = []
        self.table.on_gone(lambda target: self.gone.append(target.target_id))

    def list(self, *targets):
        revision = self.mirror.revision + 1
        self.mirror.replace_all(
            [
                ports.StoredObject(each.target_id, revision, each)
                for each in targets
            ],
            revision,
        )

    def ready(self):
        return {target.target_id for target in self.table.ready('llm')}


@pytest.fixture
def world():
    return World()


def test_draining_targets_get_no_new_requests(world):
    world.list(builders.make_target('t1'), builders.make_target('t2'))
    world.list(
        builders.make_target('t1', state=DRAINING),
        builders.make_target('t2'),
    )
    assert world.ready() == {'t2'}
    assert world.gone == []


def test_entry_removed_while_the_store_is_there_is_gone(world):
    world.list(builders.make_target('t1'))
    world.list()
    assert world.ready() == set()
    assert world.gone == ['t1']


def test_entries_that_lapsed_in_an_outage_serve_until_they_are_due(world):
    world.list(builders.make_target('t1'), builders.make_target('t2'))
    world.mirror.connected_at = world.now
    world.list()
    assert world.ready() == {'t1', 't2'}
    world.list(builders.make_target('t1'))
    # One is back: nobody needs to guess any more.
    assert world.ready() == {'t1'}
    world.list()
    world.now += _targets.LAPSE_TIME + 0.1
    assert world.ready() == set()


def test_lapsed_entry_of_a_leaver_does_not_serve(world):
    world.list(builders.make_target('t1', state=DRAINING))
    world.mirror.connected_at = world.now
    world.list()
    assert world.ready() == set()


def test_restart_under_the_same_id_is_noticed(world):
    world.list(builders.make_target('t1', incarnation=1))
    world.list(builders.make_target('t1', incarnation=2))
    assert world.gone == ['t1']
    assert world.ready() == {'t1'}


def test_entry_that_cannot_be_read_names_no_target(world):
    world.mirror.replace_all([ports.StoredObject('bad', 1, None)], 1)
    assert world.ready() == set()


def test_failing_target_is_left_alone_and_tried_again(world):
    world.list(builders.make_target('t1'))
    for _ in range(_targets.FAILURES_TO_SUSPEND):
        assert not world.table.is_suspended('t1')
        world.table.note_failure('t1', 'reset')
    assert world.table.is_suspended('t1')
    world.now += _targets.FIRST_SUSPENSION + 0.01
    assert not world.table.is_suspended('t1')
    world.table.note_failure('t1', 'reset')
    world.now += _targets.FIRST_SUSPENSION + 0.01
    assert world.table.is_suspended('t1')
    world.table.note_success('t1')
    assert world.table.health('t1').suspension == _targets.FIRST_SUSPENSION


def test_usage_of_all_nodes_adds_up(world):
    adapter = builders.adapter('a1')
    world.table.begin('t1', adapter, 500)
    world.table.others_by_centre['a'] = _centres.CentreState(
        loads={'t1': _centres.Load(2, 300)},
        adapters_in_use={'t1': frozenset({builders.adapter('a2')})},
    )
    assert world.table.running('t1') == 3
    assert world.table.unread_tokens('t1') == 800
    assert world.table.is_in_use('t1', builders.adapter('a2'))
    world.table.note_read('t1', 500)
    world.table.end('t1', adapter)
    assert world.table.unread_tokens('t1') == 300
    assert not world.table.is_in_use('t1', adapter)
    assert world.table.usage_by_id == {}
