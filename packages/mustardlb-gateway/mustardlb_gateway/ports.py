"""Interfaces that the adapter to a platform implements."""

from collections import abc
import dataclasses
from typing import Any
from typing import Protocol

from mustardlb_gateway import domain


class StoreUnavailable(Exception):
    """The store rejected a call or did not respond.

    :ivar is_outcome_unknown: whether a write may have been applied, or still
        may be
    """

    def __init__(self, problem: str, is_outcome_unknown: bool = False) -> None:
        super().__init__(problem)
        self.is_outcome_unknown = is_outcome_unknown


class RevisionCompacted(Exception):
    """The store has discarded the changes since a revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store with the revision of its last change."""

    name: str
    revision: int
    spec: Any


class Conflict(Exception):
    """The object has another revision, or exists already.

    :ivar current: the stored object, None if the store did not return it
    """

    def __init__(self, current: StoredObject | None) -> None:
        super().__init__('the object has another revision')
        self.current = current


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of one object; `spec` is None if it was removed."""

    name: str
    revision: int
    spec: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes up to a revision of the store.

    :ivar epoch: rises when the store continues from a copy, after which it
        gives out revisions again; 0 if it is not known
    """

    changes: tuple[Change, ...]
    revision: int
    epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind as of a revision of the store in an epoch."""

    objects: tuple[StoredObject, ...]
    revision: int
    epoch: int = 0


class Store(Protocol):
    """The platform's object store. All calls raise StoreUnavailable."""

    async def list_objects(self, kind: str) -> Listing:
        """Return all objects of a kind."""

    async def watch(self, kind: str, revision: int, timeout: float) -> Changes:
        """Wait for changes after a revision and return them.

        If there are none, returns shortly before `timeout` seconds, at once
        if that is 0. A watch without a response by then is given up. Raises
        RevisionCompacted if the store has discarded some of the changes.
        """

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, None if it does not exist."""

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object; raises Conflict if it exists."""

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> StoredObject:
        """Replace an object; raises Conflict if its revision differs."""


class Translation(Protocol):
    """Decoding and encoding of the platform's formats.

    The `*_kind` attributes name the kinds of stored objects that the
    operators and the targets write.
    """

    configuration_kind: str
    targets_kind: str
    versions_kind: str
    evacuations_kind: str

    def read_configuration(self, spec: Any) -> domain.Configuration | None:
        """Decode a configuration; None if it is malformed."""

    def read_target(self, name: str, spec: Any) -> domain.Target | None:
        """Decode a target's registration; None if it is not usable."""

    def read_version(self, spec: Any) -> domain.AdapterVersion | None:
        """Decode the newest version of an adapter; None if malformed."""

    def read_call(
        self,
        method: bytes,
        path: bytes,
        headers: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> domain.Call:
        """Decode a client's request; raises ValueError if malformed."""

    def forward_headers(
        self,
        call: domain.Call,
        target: domain.Target,
        left: float,
        account: domain.Account | None,
        priority: int,
        version: int | None,
        last_event_id: str | None,
    ) -> domain.Headers:
        """Encode the headers of a call for a target.

        :param left: time left until the call's deadline, seconds
        :param version: minimum version of the adapter, None for any
        """

    def read_response(self, headers: domain.Headers) -> domain.ResponseInfo:
        """Decode the headers of a target's response."""

    def response_headers(self, headers: domain.Headers) -> domain.Headers:
        """Return the headers of a response to forward to the client."""

    def rejection_headers(
        self, request_id: str, retry_after: float | None
    ) -> domain.Headers:
        """Encode the headers of a rejection by the gateway."""

    def write_command(
        self, command: domain.Command, target: domain.Target
    ) -> tuple[bytes, bytes, domain.Headers, bytes]:
        """Encode a command: method, path, headers and body."""

    def write_report_request(
        self, target: domain.Target
    ) -> tuple[bytes, bytes, domain.Headers, bytes]:
        """Encode the request for an engine's report."""

    def read_report(self, body: bytes) -> domain.EngineReport | None:
        """Decode an engine's report; None if it is malformed."""
