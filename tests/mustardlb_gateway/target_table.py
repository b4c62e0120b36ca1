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
            [self.stored(each, revision) for each in targets],
            revision,
            self.mirror.epoch,
        )

    def restore(self, revision, *written):
        """Continue from a copy of the store's data as of a revision.

        `written` are targets and the revisions of their registrations.
        """
        self.mirror.replace_all(
            [self.stored(target, at) for target, at in written],
            revision,
            self.mirror.epoch + 1,
        )
        self.confirm()

    def apply(self, *registrations, name='t1'):
        """Apply the changes of one watch response, None for a removal."""
        first = self.mirror.revision + 1
        changes = tuple(
            ports.Change(name, first + number, registration)
            for number, registration in enumerate(registrations)
        )
        revision = self.mirror.revision + len(changes)
        self.mirror.apply(ports.Changes(changes, revision, self.mirror.epoch))

    @staticmethod
    def stored(target, revision):
        return ports.StoredObject(target.target_id, revision, target)

    def confirm(self):
        self.mirror.confirmed_at = self.now
        self.table.update()

    def ready(self):
        return {target.target_id for target in self.table.ready('llm')}
