import builders
import structlog

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


class Harness:
    def __init__(self):
        self.now = 0.0
        self.configurations = _mirror.Mirror('config')
        self.versions = _mirror.Mirror('versions')
        self.revision = 0
        self.config = _current_config.CurrentConfig(
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


def test_older_configuration_is_ignored():
    harness = Harness()
    harness.configure(builders.make_configuration(5))
    harness.configure(builders.make_configuration(4))
    assert harness.config.configuration.version == 5
    harness.configure(builders.make_configuration(9))
    assert harness.config.configuration.version == 9


def test_older_configuration_is_logged():
    """Guards against a log that does not tell why a change is missing."""
    harness = Harness()
    harness.configure(builders.make_configuration(5))
    with structlog.testing.capture_logs() as logs:
        harness.configure(builders.make_configuration(4))
    found = [each for each in logs if each['event'] == 'MLB-6116']
    assert [(each['version'], each['current']) for each in found] == [(4, 5)]


def test_malformed_configuration_keeps_last_one():
    harness = Harness()
    harness.configure(builders.make_configuration(5))
    harness.configure(None)
    assert harness.config.configuration.version == 5


def test_new_version_is_required_after_grace_period():
    harness = Harness()
    harness.store(harness.versions, 'a1', domain.AdapterVersion(ADAPTER, 3))
    assert harness.config.versions(ADAPTER).minimum == 0
    assert harness.config.versions(ADAPTER).newest == 3
    harness.now = 2.5
    assert harness.config.versions(ADAPTER).minimum == 3
    harness.store(harness.versions, 'a1', domain.AdapterVersion(ADAPTER, 2))
    assert harness.config.newest(ADAPTER) == 3
