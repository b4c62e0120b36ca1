"""What the gateway asks of the adapter to a platform."""

from collections import abc
import dataclasses
from typing import Any
from typing import Protocol

from mustardlb_gateway import domain


class StoreUnavailable(Exception):
    """The store refused or did not answer.

    :ivar is_outcome_unknown: a write may have been, or may yet be, applied
    """

    def __init__(self, problem: str, is_outcome_unknown: bool = False) -> None:
        super().__init__(problem)
        self.is_outcome_unknown = is_outcome_unknown


class RevisionCompacted(Exception):
    """The store no longer has the changes since a revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store; `revision` is that of its last change."""

    name: str
    revision: int
    spec: Any


class Conflict(Exception):
    """An object was changed, or exists already.

    :ivar current: the object as it is, None where the store does not tell
    """

    def __init__(self, current: StoredObject | None) -> None:
        super().__init__('the object has another revision')
        self.current = current


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of a kind; `spec` is None where the object is gone."""

    name: str
    revision: int
    spec: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes up to a revision of the store."""

    changes: tuple[Change, ...]
    revision: int


class Store(Protocol):
    """The platform's store. All calls raise StoreUnavailable."""

    async def list_objects(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return all objects of a kind and the revision they stand for."""

    async def watch(self, kind: str, revision: int, wait: float) -> Changes:
        """Return changes after a revision; raises RevisionCompacted."""

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object."""

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object; raises Conflict where it exists."""

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> StoredObject:
        """Replace an object of that revision; raises Conflict."""


class Translation(Protocol):
    """The platform's names, decoded and encoded.

    `*_kind` are the kinds of the store that the operators and the targets
    write.
    """

    configuration_kind: str
    targets_kind: str
    versions_kind: str

    def read_configuration(self, spec: Any) -> domain.Configuration | None:
        """Decode a configuration; None where it cannot be read."""

    def read_target(self, name: str, spec: Any) -> domain.Target | None:
        """Decode a target's entry; None where it names none to use."""

    def read_version(self, spec: Any) -> domain.AdapterVersion | None:
        """Decode the newest version of an adapter."""

    def read_call(
        self,
        method: bytes,
        path: bytes,
        headers: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> domain.Call:
        """Decode a client's request; raises ValueError on a bad one."""

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
        """Encode a call's headers for a target; `left` is in seconds."""

    def read_response(self, headers: domain.Headers) -> domain.AnswerInfo:
        """Decode the head of a target's answer."""

    def response_headers(self, headers: domain.Headers) -> domain.Headers:
        """Return those headers of an answer that go on to the client."""

    def rejection_headers(
        self, request_id: str, retry_after: float | None
    ) -> domain.Headers:
        """Encode the headers of an answer of the gateway's own."""

    def write_command(
        self, order: domain.Order, target: domain.Target
    ) -> tuple[bytes, bytes, domain.Headers, bytes]:
        """Encode an order: method, path, headers and body."""

    def write_report_request(
        self, target: domain.Target
    ) -> tuple[bytes, bytes, domain.Headers, bytes]:
        """Encode the question for an engine's report."""

    def read_report(self, body: bytes) -> domain.EngineReport | None:
        """Decode an engine's report."""
