"""The configuration and adapter versions that are active at this node."""

from collections import abc

import structlog

from mustardlb_gateway import _jobs
from mustardlb_gateway import _mirror
from mustardlb_gateway import domain
from mustardlb_gateway import ports

log = structlog.get_logger()

CONFIGURATION_NAME = 'main'

# Ratio of the time allowed for a new adapter version during which older ones
# still serve, so that engines with the older one can load the new one.
VERSION_GRACE_RATIO = 0.4


class CurrentConfig:
    """The newest configuration and adapter versions that were stored.

    Neither goes back to an older version.
    """

    def __init__(
        self,
        configurations: _mirror.Mirror,
        versions: _mirror.Mirror,
        translation: ports.Translation,
        clock: abc.Callable[[], float],
        version_time: abc.Callable[[], float],
    ) -> None:
        self._configurations = configurations
        self._versions = versions
        self._translation = translation
        self._clock = clock
        self._version_time = version_time
        self.configuration: domain.Configuration | None = None
        self._newest_by_adapter: dict[
            domain.AdapterName, tuple[int, float]
        ] = {}
        configurations.on_change(self._load_configuration)
        versions.on_change(self._load_versions)

    def _load_configuration(self) -> None:
        stored = self._configurations.objects_by_name.get(CONFIGURATION_NAME)
        if stored is None:
            return
        new = self._translation.read_configuration(stored.spec)
        if new is None:
            log.error('MLB-6111', revision=stored.revision)
            return
        before = self.configuration
        if before is not None and new.version <= before.version:
            if new.version < before.version:
                log.info(
                    'MLB-6116',
                    version=new.version,
                    current=before.version,
                    revision=stored.revision,
                )
            return
        self.configuration = new
        log.info(
            'MLB-6110',
            version=new.version,
            before=before.version if before else 0,
            routes=len(new.routes),
            accounts=len(new.accounts_by_name or ()),
            revision=stored.revision,
        )

    def _load_versions(self) -> None:
        for stored in self._versions.objects_by_name.values():
            found = self._translation.read_version(stored.spec)
            if found is None:
                continue
            current = self._newest_by_adapter.get(found.adapter, (0, 0.0))
            if found.version <= current[0]:
                continue
            self._newest_by_adapter[found.adapter] = (
                found.version,
                self._clock(),
            )
            log.info(
                'MLB-6112',
                adapter=str(found.adapter),
                version=found.version,
                revision=stored.revision,
            )

    def newest(self, adapter: domain.AdapterName) -> int:
        """Return the newest version of an adapter, 0 for none."""
        return self._newest_by_adapter.get(adapter, (0, 0.0))[0]

    def versions(self, adapter: domain.AdapterName) -> _jobs.AdapterVersions:
        """Return the versions of an adapter that may serve a call."""
        newest, since = self._newest_by_adapter.get(adapter, (0, 0.0))
        grace = self._version_time() * VERSION_GRACE_RATIO
        is_due = self._clock() - since >= grace
        return _jobs.AdapterVersions(newest if is_due else 0, newest)

    def service(self, name: str) -> domain.Service | None:
        """Return a service of the active configuration, None if unknown."""
        if self.configuration is None:
            return None
        return self.configuration.services_by_name.get(name)

    def account(self, name: str) -> domain.Account | None:
        """Return an account of the active configuration, None if unknown."""
        if self.configuration is None:
            return None
        return (self.configuration.accounts_by_name or {}).get(name)
