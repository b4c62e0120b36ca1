"""The versions of their software that the targets of services had lately.

A stream may go on only at the software that began it. While a service has one
version, every stream is known to have begun there.
"""

from collections import abc
import dataclasses

import structlog

from mustardlb_gateway import domain

log = structlog.get_logger()

# A stream that began longer ago is not resumed.
STREAM_LIFETIME_SECONDS = 60.0

# Streams begin at a new version after this time, when all live nodes know of
# it. Until then no stream can have begun there.
ADOPTION_SECONDS = 3.0

# A node that learned of a version this long ago may not be the first one, so
# that streams may have begun there at other nodes.
POSSIBLE_AFTER_SECONDS = ADOPTION_SECONDS / 2

# Service and version.
_Key = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """What a node knows about the software of some services.

    :ivar possible: versions that may have begun a stream
    :ivar is_complete: whether there can be no others
    """

    possible: frozenset[str]
    is_complete: bool


class SoftwareHistory:
    """Versions that are registered or were within the life of a stream."""

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._complete_since = clock()
        self._first_at: dict[_Key, float] = {}
        self._last_at: dict[_Key, float] = {}
        self._present: frozenset[_Key] = frozenset()
        self._has_observed = False
        self._saved: dict[str, list[str]] = {}

    def observe(self, targets: abc.Iterable[domain.Target]) -> None:
        """Add the versions of all registered targets."""
        now = self._clock()
        present = frozenset(
            (target.service, target.software) for target in targets
        )
        for key in self._present - present:
            self._last_at[key] = now
        for key in present - self._first_at.keys():
            # A node that starts does not know how long they have been there.
            self._first_at[key] = now if self._has_observed else float('-inf')
            log.info('MLB-6212', service=key[0], software=key[1])
        self._present = present
        self._has_observed = True

    def add_saved(self, fields: object) -> None:
        """Add the saved versions, None if nothing was saved before."""
        now = self._clock()
        self._complete_since = float('-inf')
        if fields is None:
            return
        try:
            keys = [
                (str(service), str(software))
                for service, softwares in dict(fields).items()  # type: ignore
                for software in softwares
            ]
        except (TypeError, ValueError) as error:
            log.warning('MLB-6213', problem=repr(error))
            self._complete_since = now
            return
        for key in keys:
            self._first_at.setdefault(key, float('-inf'))
            self._last_at[key] = now

    def take_unsaved(self) -> dict[str, list[str]] | None:
        """Return the versions by service if they have changed, once."""
        if not self._has_observed:
            return None
        current: dict[str, list[str]] = {}
        for service, software in sorted(self._keys()):
            current.setdefault(service, []).append(software)
        if current == self._saved:
            return None
        self._saved = current
        return current

    def _keys(self) -> frozenset[_Key]:
        """Return the versions of now and of the life of a stream."""
        since = self._clock() - STREAM_LIFETIME_SECONDS
        for key, last_at in list(self._last_at.items()):
            if key not in self._present and last_at < since:
                del self._last_at[key], self._first_at[key]
        return frozenset(self._first_at)

    def is_mixed(self, services: abc.Collection[str]) -> bool:
        """Return whether several versions may begin or have begun streams."""
        softwares = {
            software
            for service, software in self._keys()
            if service in services
        }
        return len(softwares) > 1

    def knowledge(self, services: abc.Collection[str]) -> Knowledge:
        """Return which versions may have begun a stream by now."""
        now = self._clock()
        return Knowledge(
            frozenset(
                software
                for service, software in self._keys()
                if service in services
                and self._first_at[service, software] + POSSIBLE_AFTER_SECONDS
                <= now
            ),
            self._complete_since <= now - STREAM_LIFETIME_SECONDS,
        )

    def is_adopted(self, target: domain.Target) -> bool:
        """Return whether streams may begin at a target beside others."""
        first_at = self._first_at.get((target.service, target.software))
        return (
            first_at is not None
            and first_at + ADOPTION_SECONDS <= self._clock()
        )
