import builders

from mustardlb_gateway import _current_config
from mustardlb_gateway import _mirror
from mustardlb_gateway import domain
from mustardlb_gateway import ports

ADAPTER = builders.adapter('a1')


class TranslationStub:
    def read_configuration(self, spec):
        return spec

    def read_version(self, spec):
        return spec


class World:
    def __init__(self):
        self.now = 0.0
        self.configurations = _mirror.Mirror('config')
        self.versions = _mirror.Mirror('versions')
        self.revision = 0
        self.state = _current_config.CurrentConfig(
            self.configurations,
            self.versions,
            TranslationStub(),
            lambda: self.now,
            lambda: 5.0,
        )

    def store(self, mirror, name, spec):
        self.revision += 1
        change = ports.Change(name, self.revision, spec)
        mirror.apply(ports.Changes((change,), self.revision))

    def configure(self, spec):
        self.store(self.configurations, 'main', spec)


def test_configuration_goes_forwards_only():
    world = World()
    world.configure(builders.make_configuration(5))
    world.configure(builders.make_configuration(4))
    assert world.state.configuration.version == 5
    world.configure(builders.make_configuration(9))
    assert world.state.configuration.version == 9


def test_configuration_that_cannot_be_read_leaves_the_last_one():
    world = World()
    world.configure(builders.make_configuration(5))
    world.configure(None)
    assert world.state.configuration.version == 5


def test_new_version_is_required_before_its_bound():
    world = World()
    world.store(world.versions, 'a1', domain.AdapterVersion(ADAPTER, 3))
    assert world.state.versions(ADAPTER).least == 0
    assert world.state.versions(ADAPTER).newest == 3
    world.now = 2.5
    assert world.state.versions(ADAPTER).least == 3
    world.store(world.versions, 'a1', domain.AdapterVersion(ADAPTER, 2))
    assert world.state.newest(ADAPTER) == 3
