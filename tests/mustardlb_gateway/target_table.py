"""A table of targets with registrations that a test sets."""

from mustardlb_gateway import _mirror
from mustardlb_gateway import _targets
from mustardlb_gateway import ports


class TranslationStub:
    def read_target(self, name, spec):
        return spec


class Harness:
    def __init__(self):
        self.now = 100.0
        self.mirror = _mirror.Mirror('servers')
        self.mirror.is_connected = True
        self.table = _targets.TargetTable(
            self.mirror, TranslationStub(), lambda: self.now
        )
        self.removed = []
        self.table.on_removed(
            lambda target: self.removed.append(target.target_id)
        )

    def set_targets(self, *targets):
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
