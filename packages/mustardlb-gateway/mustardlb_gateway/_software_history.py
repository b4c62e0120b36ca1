"""The versions of their software that the targets of services had lately.

A stream may go on only at the software that began it. While a service has one
version, every stream is known to have begun there.
"""

from collections import abc
import dataclasses
import time

import structlog

from mustardlb_gateway import _amounts
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

# Streams begin beside others at a version that is not known to be in the saved
# record after this time, since the store may be out of reach for long.
UNRECORDED_ADOPTION_SECONDS = 30.0

# Clocks of the nodes that write and read the saved times may differ by this.
CLOCK_DIFFERENCE_SECONDS = 5.0

# The saved record is compared with what a writer knows at this interval, since
# another one may have saved what it knew before.
RECORD_CHECK_SECONDS = 10.0

# Service and version.
_Key = tuple[str, str]

# When a version was last registered, Unix seconds; None if it was when saved.
_Record = dict[_Key, float | None]

# Versions that are registered, and all that may have begun streams.
Snapshot = tuple[frozenset[_Key], frozenset[_Key]]


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

    def __init__(
        self,
        clock: abc.Callable[[], float],
        wall_clock: abc.Callable[[], float] = time.time,
    ) -> None:
        self._clock = clock
        self._wall_clock = wall_clock
        self._started_at = clock()
        self._first_at: dict[_Key, float] = {}
        self._possible_at: dict[_Key, float] = {}
        self._last_at: dict[_Key, float] = {}
        self._gap_ended_at = float('-inf')
        self._present: frozenset[_Key] = frozenset()
        self._has_observed = False
        self._left_at: dict[_Key, float] = {}
        self._recorded: frozenset[_Key] = frozenset()
        self._loaded_services: frozenset[str] | None = None
        self._saved: Snapshot | None = None
        self._check_record_at = float('-inf')

    def observe(
        self,
        targets: abc.Iterable[domain.Target],
        confirmed_at: float | None = None,
    ) -> None:
        """Add the versions of all registered targets.

        :param confirmed_at: time as of which the targets were known before,
            clock seconds; None if they were known all the time
        """
        now = self._clock()
        known_at = now if confirmed_at is None else min(now, confirmed_at)
        if self._has_observed and known_at < now - ADOPTION_SECONDS:
            log.info('MLB-6222', seconds=round(now - known_at, 3))
            self._gap_ended_at = now
        present = frozenset(
            (target.service, target.software) for target in targets
        )
        for key in self._present - present:
            self._last_at[key] = now
            self._left_at[key] = round(self._wall_clock(), 3)
        for key in present - self._first_at.keys():
            # A node that starts does not know how long they have been there.
            self._first_at[key] = now if self._has_observed else float('-inf')
            # No node can have known of it before this one knew of none.
            self._possible_at[key] = min(
                self._first_at[key] + POSSIBLE_AFTER_SECONDS,
                known_at + ADOPTION_SECONDS,
            )
            log.info('MLB-6212', service=key[0], software=key[1])
        self._present = present
        self._has_observed = True

    def add_saved(self, fields: object) -> None:
        """Add the saved versions, None if nothing was saved before.

        Without a record, earlier processes may have ended before they saved
        one, so that nothing is known of their streams.
        """
        if fields is None:
            return
        try:
            record = _decode(fields)
        except (AttributeError, TypeError, ValueError) as error:
            log.warning('MLB-6213', problem=repr(error))
            return
        self._gap_ended_at = float('-inf')
        now, wall = self._clock(), self._wall_clock()
        self._loaded_services = frozenset(service for service, _ in record)
        self._set_recorded(record)
        for key, left_at in record.items():
            age = 0.0
            if left_at is not None:
                age = max(0.0, wall - left_at - CLOCK_DIFFERENCE_SECONDS)
            if age > STREAM_LIFETIME_SECONDS:
                continue
            self._first_at.setdefault(key, float('-inf'))
            self._possible_at.setdefault(key, float('-inf'))
            if key not in self._present:
                self._last_at[key] = now - age
                self._left_at[key] = round(wall, 3)
                if left_at is not None:
                    self._left_at[key] = left_at

    def must_load(self) -> bool:
        """Return whether versions may have come and gone unseen.

        The saved record has them.
        """
        return self._gap_ended_at > self._clock() - STREAM_LIFETIME_SECONDS

    def must_save(self) -> bool:
        """Return whether the saved record may differ from what is known."""
        if not self._has_observed:
            return False
        return (
            self._saved != self.snapshot()
            or self._clock() >= self._check_record_at
        )

    def merged(self, fields: object) -> dict[str, dict[str, float | None]]:
        """Return the saved record with what this node knows added.

        Another writer may know of versions that this node has never seen.
        """
        try:
            record = _decode(fields or {})
        except (AttributeError, TypeError, ValueError) as error:
            log.warning('MLB-6213', problem=repr(error))
            record = {}
        wall = self._wall_clock()
        merged: dict[str, dict[str, float | None]] = {}
        for key in sorted(record.keys() | self._keys()):
            left_at = None
            if key not in self._present:
                known = [record.get(key), self._left_at.get(key)]
                left_at = max(
                    (at for at in known if at is not None),
                    default=round(wall, 3),
                )
                kept = STREAM_LIFETIME_SECONDS + CLOCK_DIFFERENCE_SECONDS
                if left_at < wall - kept:
                    continue
                if left_at > wall + kept:
                    left_at = round(wall, 3)
            service, software = key
            merged.setdefault(service, {})[software] = left_at
        return merged

    def snapshot(self) -> Snapshot:
        """Return the versions to save: those registered, and all."""
        return self._present, self._keys()

    def mark_saved(self, fields: object, snapshot: Snapshot) -> None:
        """Record that the store has the versions of a snapshot."""
        self._saved = snapshot
        self._check_record_at = self._clock() + RECORD_CHECK_SECONDS
        self.record_saved(fields)

    def record_saved(self, fields: object) -> None:
        """Record that the store has these fields."""
        try:
            self._set_recorded(_decode(fields or {}))
        except (AttributeError, TypeError, ValueError) as error:
            log.warning('MLB-6213', problem=repr(error))

    def _set_recorded(self, record: _Record) -> None:
        self._recorded = frozenset(
            key for key, left_at in record.items() if left_at is None
        )

    def has_unrecorded(self) -> bool:
        """Return whether a version waits for its entry in the record."""
        services = [service for service, _ in self._present]
        return any(
            key not in self._recorded and services.count(key[0]) > 1
            for key in self._present
        )

    def _keys(self) -> frozenset[_Key]:
        """Return the versions of now and of the life of a stream."""
        since = self._clock() - STREAM_LIFETIME_SECONDS
        for key, last_at in list(self._last_at.items()):
            if key not in self._present and last_at < since:
                del self._last_at[key], self._first_at[key]
                del self._possible_at[key]
                self._left_at.pop(key, None)
        return frozenset(self._first_at)

    def is_mixed(self, services: abc.Collection[str]) -> bool:
        """Return whether several versions may begin or have begun streams.

        That is not known until the knowledge is complete.
        """
        if not self._is_complete(services):
            return True
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
                and self._possible_at[service, software] <= now
            ),
            self._is_complete(services),
        )

    def _is_complete(self, services: abc.Collection[str]) -> bool:
        """Return whether all versions that may have begun streams are known.

        A service that is not in the record, but had targets when this node
        started, may have had others before. The record may be old, which the
        targets that are registered show.
        """
        if not self._has_observed:
            return False
        forgotten_at = self._clock() - STREAM_LIFETIME_SECONDS
        if self.must_load():
            return False
        if self._started_at <= forgotten_at:
            return True
        loaded = self._loaded_services
        return loaded is not None and not any(
            service in services
            and service not in loaded
            and self._first_at[service, software] == float('-inf')
            for service, software in self._present
        )

    def is_adopted(self, target: domain.Target) -> bool:
        """Return whether streams may begin at a target beside others.

        The saved record has to have the version, because all nodes may end:
        those that start then would take the other version for the only one.
        """
        key = target.service, target.software
        first_at = self._first_at.get(key)
        if first_at is None:
            return False
        age = self._clock() - first_at
        if age < ADOPTION_SECONDS:
            return False
        if key in self._recorded or age >= UNRECORDED_ADOPTION_SECONDS:
            return True
        return not any(
            service == target.service
            for service, _ in self._present & self._recorded
        )


def _decode(fields: object) -> _Record:
    """Return the saved versions; raises an error if they are malformed.

    Earlier releases saved the names of the versions without times.
    """
    record: _Record = {}
    for service, softwares in dict(fields).items():  # type: ignore
        times = softwares
        if not isinstance(softwares, dict):
            times = dict.fromkeys(softwares)
        for software, left_at in times.items():
            record[str(service), str(software)] = (
                None if left_at is None else _amounts.finite(left_at)
            )
    return record
