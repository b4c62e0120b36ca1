"""Where the streams began that clients resume, over all nodes.

Each node remembers its own streams. While their services have several
versions of software, it also tells two other nodes, which any node finds by
the id of the request that began the stream. Otherwise the one version is
known without that. What has to outlive all nodes is in `_origin_records`.
"""

import collections
from collections import abc
import dataclasses
import hashlib
import itertools

import structlog
import trio

from mustardlb_gateway import _messages
from mustardlb_gateway import _owners
from mustardlb_gateway import _software_history

log = structlog.get_logger()

# Nodes that are told of a stream, besides the one that serves it.
COPIES = 2

# Nodes that are asked: those that were told, unless one has joined since.
MAX_ASKED = COPIES + 1

# Requests are spread over the nodes by this number of rankings.
BUCKETS = 256

# Questions to each node, if some have not answered.
MAX_QUESTIONS = 2

# Streams that begin within this time are told together.
BATCH_SECONDS = 0.02

# What was not acknowledged is told again after this time, which is also the
# interval at which changes of the nodes are looked for.
RETRY_SECONDS = 0.5

MAX_TOLD_AT_ONCE = 200


@dataclasses.dataclass(slots=True)
class _Record:
    """Where a stream began.

    :ivar expires_at: clock seconds
    :ivar services: those to which its route may send it
    :ivar told: nodes that were told or are being told
    """

    origin: _messages.Origin
    expires_at: float
    services: tuple[str, ...] = ()
    told: set[str] = dataclasses.field(default_factory=set)


class StreamOrigins:
    """The streams of this node, and those that it keeps for others.

    `request` sends a message to a node and returns its response, or None
    without one in time. `live` returns the names of the other live nodes,
    `data_centre` that of a node, and `incarnations` those of the processes of
    live nodes. `is_current` returns whether the store confirmed this node's
    targets lately, and `confirm` asks it to. `load_saved` adds the streams
    that nodes saved in the store.
    """

    def __init__(
        self,
        vm: str,
        history: _software_history.SoftwareHistory,
        request: abc.Callable[
            [str, _messages.Body, float],
            abc.Awaitable[_messages.Body | None],
        ],
        live: abc.Callable[[], frozenset[str]],
        data_centre: abc.Callable[[str], str],
        incarnations: abc.Callable[[], dict[str, int]],
        is_current: abc.Callable[[], bool],
        confirm: abc.Callable[[], abc.Awaitable[bool]],
        clock: abc.Callable[[], float],
        load_saved: abc.Callable[
            [], abc.Awaitable[None]
        ] = trio.lowlevel.checkpoint,
    ) -> None:
        self._load_saved = load_saved
        # Streams of this node that clients may resume, the oldest first.
        self._unfinished: dict[int, None] = {}
        self._vm = vm
        self._history = history
        self._request = request
        self._live = live
        self._data_centre = data_centre
        self._incarnations = incarnations
        self._is_current = is_current
        self._confirm = confirm
        self._clock = clock
        self._owners = _owners.Owners(vm, live, clock)
        self._record_by_stream: collections.OrderedDict[int, _Record] = (
            collections.OrderedDict()
        )
        self._untold: dict[int, None] = {}
        self._mixed: frozenset[tuple[str, ...]] = frozenset()
        self._known_incarnations: dict[str, int] = {}
        self._changed = trio.Event()

    @property
    def size(self) -> int:
        """Return the number of streams that are remembered."""
        return len(self._record_by_stream)

    def record(
        self,
        request_id: str,
        origin: _messages.Origin,
        services: tuple[str, ...],
    ) -> None:
        """Remember where a stream of this node began."""
        stream = hash_of(request_id)
        self._keep(stream, origin, services)
        self._unfinished[stream] = None
        if self._history.is_mixed(services):
            self._untold[stream] = None
            self._changed.set()

    def record_end(self, request_id: str) -> None:
        """Record that a client has got the whole of a stream."""
        self._unfinished.pop(hash_of(request_id), None)

    def keep_saved(
        self, stream: int, origin: _messages.Origin, is_own: bool
    ) -> None:
        """Remember a stream that a node has saved.

        An earlier process of this node has ended, so that this one saves its
        streams again.
        """
        if self._known(stream) is not None:
            return
        # Other nodes tell of theirs, if they have them.
        self._keep(stream, origin, (origin.service,) if is_own else ())
        if is_own:
            self._unfinished[stream] = None

    def unfinished(self) -> dict[_messages.Origin, list[int]]:
        """Return the streams to save, by where they began.

        While the services of a stream have one version, that is known without.
        """
        is_mixed: dict[tuple[str, ...], bool] = {}
        streams_by_origin: dict[_messages.Origin, list[int]] = {}
        for stream in list(self._unfinished):
            if self._known(stream) is None:
                del self._unfinished[stream]
                continue
            record = self._record_by_stream[stream]
            services = record.services
            if services not in is_mixed:
                is_mixed[services] = self._history.is_mixed(services)
            if is_mixed[services]:
                streams_by_origin.setdefault(record.origin, []).append(stream)
        return streams_by_origin

    def _keep(
        self,
        stream: int,
        origin: _messages.Origin,
        services: tuple[str, ...] = (),
    ) -> None:
        now = self._clock()
        self._record_by_stream[stream] = _Record(
            origin,
            now + _software_history.STREAM_LIFETIME_SECONDS,
            services,
        )
        self._record_by_stream.move_to_end(stream)
        for first, record in list(
            itertools.islice(self._record_by_stream.items(), 2)
        ):
            if record.expires_at <= now:
                del self._record_by_stream[first]

    def _nodes_of(self, stream: int) -> list[str]:
        """Return the nodes that are asked, of different data centres first."""
        bucket = stream % BUCKETS
        ranking = self._owners.ranking(f'streams-{bucket}')
        seen: set[str] = set()
        first: list[str] = []
        rest: list[str] = []
        for vm in ranking[: 4 * MAX_ASKED]:
            centre = self._data_centre(vm)
            (rest if centre in seen else first).append(vm)
            seen.add(centre)
        return (first + rest)[:MAX_ASKED]

    def _keepers_of(self, stream: int) -> list[str]:
        others = (vm for vm in self._nodes_of(stream) if vm != self._vm)
        return list(itertools.islice(others, COPIES))

    async def find(
        self, request_id: str | None, services: tuple[str, ...]
    ) -> _messages.Origin | None:
        """Return where a stream began, None if that is not known."""
        stream = hash_of(request_id or '')
        asked: list[str] = []
        answers: list[_messages.FoundOrigin] = []
        origin = self._known(stream)
        if origin is None:
            asked = [vm for vm in self._nodes_of(stream) if vm != self._vm]
            for _ in range(MAX_QUESTIONS):
                answers += await self._ask(asked, stream, services)
                found = (each.origin for each in answers if each.origin)
                origin = next(found, None)
                if origin is not None or len(answers) >= len(asked):
                    break
        if origin is None:
            known = [answer.knowledge for answer in answers]
            origin = self._infer([self._knowledge(services), *known])
            if origin is None and request_id:
                await self._load_saved()
                origin = self._known(stream)
            if origin is None and await self._confirm():
                origin = self._infer([self._knowledge(services), *known])
        log.info(
            'MLB-6609',
            resumed=request_id,
            service=origin and origin.service,
            software=origin and origin.software,
            asked=asked,
            answered=len(answers),
        )
        return origin

    def _known(self, stream: int) -> _messages.Origin | None:
        record = self._record_by_stream.get(stream)
        if record is None or record.expires_at <= self._clock():
            return None
        return record.origin

    async def _ask(
        self,
        vms: list[str],
        stream: int,
        services: tuple[str, ...],
    ) -> list[_messages.FoundOrigin]:
        """Return the answers of nodes, at the first one that knows."""
        answers: list[_messages.FoundOrigin] = []

        async def ask(vm: str) -> None:
            answer = await self._request(
                vm,
                _messages.FindOrigin(stream, services),
                _owners.RESPONSE_TIMEOUT_SECONDS,
            )
            if isinstance(answer, _messages.FoundOrigin):
                answers.append(answer)
                if answer.origin is not None:
                    nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for vm in vms:
                nursery.start_soon(ask, vm)
        return answers

    def _knowledge(
        self, services: tuple[str, ...]
    ) -> _software_history.Knowledge:
        """Return this node's knowledge, incomplete if it is not current."""
        knowledge = self._history.knowledge(services)
        return dataclasses.replace(
            knowledge,
            is_complete=knowledge.is_complete and self._is_current(),
        )

    @staticmethod
    def _infer(
        known: list[_software_history.Knowledge],
    ) -> _messages.Origin | None:
        """Return the only version that may have begun a stream."""
        possible = frozenset().union(*(each.possible for each in known))
        if len(possible) != 1 or not any(each.is_complete for each in known):
            return None
        (software,) = possible
        return _messages.Origin('', software)

    def handle_find(
        self, question: _messages.FindOrigin
    ) -> _messages.FoundOrigin:
        """Tell another node what this one knows of a stream."""
        return _messages.FoundOrigin(
            self._known(question.stream),
            self._knowledge(question.services),
        )

    def handle_told(
        self, told: _messages.TellOrigins
    ) -> _messages.ToldOrigins:
        """Keep what another node tells of its streams."""
        for origin, streams in told.streams_by_origin.items():
            for stream in streams:
                self._keep(stream, origin)
        return _messages.ToldOrigins()

    async def run(self) -> None:
        """Tell other nodes of this node's streams until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(RETRY_SECONDS):
                    await self._changed.wait()
                    await trio.sleep(BATCH_SECONDS)
                self._changed = trio.Event()
                self._check_all()
                for vm, streams in self._take_untold().items():
                    nursery.start_soon(self._tell, vm, streams)

    def _check_all(self) -> None:
        """Tell all streams again if nodes or versions have changed."""
        mixed = frozenset(
            services
            for services in {
                record.services for record in self._record_by_stream.values()
            }
            if services and self._history.is_mixed(services)
        )
        incarnations = self._incarnations()
        if (mixed, incarnations) == (self._mixed, self._known_incarnations):
            return
        restarted = {
            vm
            for vm, incarnation in self._known_incarnations.items()
            if incarnations.get(vm) != incarnation
        }
        self._mixed, self._known_incarnations = mixed, incarnations
        for stream, record in self._record_by_stream.items():
            record.told -= restarted
            if record.services in mixed:
                self._untold[stream] = None

    def _take_untold(self) -> dict[str, list[int]]:
        """Return the streams to tell, by node."""
        by_vm: dict[str, list[int]] = {}
        taken, self._untold = self._untold, {}
        for stream in taken:
            record = self._record_by_stream.get(stream)
            if record is None:
                continue
            for vm in self._keepers_of(stream):
                if vm not in record.told:
                    record.told.add(vm)
                    by_vm.setdefault(vm, []).append(stream)
        return by_vm

    async def _tell(self, vm: str, streams: list[int]) -> None:
        """Tell a node of streams; what is not acknowledged is told again."""
        for start in range(0, len(streams), MAX_TOLD_AT_ONCE):
            batch = streams[start : start + MAX_TOLD_AT_ONCE]
            by_origin: dict[_messages.Origin, tuple[int, ...]] = {}
            for stream in batch:
                record = self._record_by_stream.get(stream)
                if record is not None:
                    origin = record.origin
                    by_origin[origin] = (*by_origin.get(origin, ()), stream)
            response = await self._request(
                vm, _messages.TellOrigins(by_origin), RETRY_SECONDS
            )
            if not isinstance(response, _messages.ToldOrigins):
                self._tell_again(vm, batch)

    def _tell_again(self, vm: str, streams: list[int]) -> None:
        for stream in streams:
            record = self._record_by_stream.get(stream)
            if record is not None:
                record.told.discard(vm)
                self._untold[stream] = None


def hash_of(request_id: str) -> int:
    """Return what stands for a stream between nodes, by its first request."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')
