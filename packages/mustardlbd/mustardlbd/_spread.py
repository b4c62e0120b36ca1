"""Keep what this node holds as new as its parents, and count majorities."""

import dataclasses
import math
import random

import structlog
import trio

from mustardlb import errors
from mustardlbd import _api_source
from mustardlbd import _attestations
from mustardlbd import _documents
from mustardlbd import _fetching
from mustardlbd import _freshness
from mustardlbd import _parts
from mustardlbd import _poll_messages
from mustardlbd import _ranks
from mustardlbd import _spread_server

log = structlog.get_logger()

# How long the first and the second parent hold a poll, seconds.
HOLD_TIMES = (0.5, 2.0)

# How long a reply is waited for beyond the hold, seconds.
POLL_TIMEOUT = 0.5

# Pause of a slot without a parent or after a failure, seconds.
SLOT_PAUSE = 0.2

# How often one unreachable VM is tried again, seconds.
RETRY_INTERVAL = 0.5

# How often majorities are looked for, seconds.
COUNT_INTERVAL = 0.25

# Age past which a node that is no watcher asks the API itself, seconds.
DIRECT_AGE = _freshness.MAX_AGE / 2

# How often that is looked at, seconds.
DIRECT_INTERVAL = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    """A stamp and when it came."""

    stamp: _poll_messages.Stamp = _poll_messages.Stamp()
    time: float = 0.0


class Spread:
    """Keeps this node's tracked objects as new as its parents'."""

    def __init__(
        self,
        parts: _parts.Parts,
        source: _api_source.ApiSource,
        fetch_part: _documents.FetchPart,
    ) -> None:
        self._parts = parts
        self._source = source
        self._fetch_part = fetch_part
        self._received_by_vm: dict[str, _Received] = {}

    async def run(self) -> None:
        """Poll, watch, probe and count for ever."""
        async with trio.open_nursery() as nursery:
            for slot in range(_ranks.PARENTS):
                nursery.start_soon(self._poll_for_ever, slot)
            for index in range(len(_documents.TRACKED)):
                nursery.start_soon(self._watch_for_ever, index)
                nursery.start_soon(self._probe_for_ever, index)
            nursery.start_soon(self._retry_for_ever)
            nursery.start_soon(self._count_for_ever)

    async def _poll_for_ever(self, slot: int) -> None:
        while True:
            parents = self._parts.parents()
            if slot >= len(parents):
                await trio.sleep(SLOT_PAUSE)
                continue
            hold = HOLD_TIMES[0 if self._parts.is_watcher() else slot]
            if not await self._poll(parents[slot], hold):
                await trio.sleep(SLOT_PAUSE)

    async def _poll(self, parent: str, hold: float) -> bool:
        asked = self._parts.now()
        poll = _poll_messages.encode_poll(self._make_poll(parent, hold))
        try:
            payload = await self._parts.peers.call(
                parent, _spread_server.POLL, poll, hold + POLL_TIMEOUT
            )
            reply = _poll_messages.decode_reply(payload)
            await self._adopt_newer(parent, reply)
        except (
            errors.Error,
            _poll_messages.BadMessage,
            _documents.NotFetched,
        ) as error:
            log.info('MLB-2032', peer=parent, problem=str(error))
            return False
        # The peer got the poll after it was asked and answered `held`
        # seconds later; that its answer may be late changes nothing.
        as_of = asked + reply.held - reply.age
        ours = self._parts.documents.versions()
        for index, theirs in enumerate(reply.versions):
            if ours[index] >= theirs:
                self._parts.freshness.confirm(
                    index, as_of, _freshness.Evidence.PEER
                )
        return True

    def _make_poll(self, parent: str, hold: float) -> _poll_messages.Poll:
        now = self._parts.now()
        received = self._received_by_vm.get(parent, _Received())
        attestations = []
        if received.stamp.incarnation:
            attestations = [
                dataclasses.replace(one, made=one.made - received.time)
                for one in self._attested()
            ]
        return _poll_messages.Poll(
            self._parts.documents.versions(),
            self._parts.acceptance.accepted(),
            received.stamp,
            now - received.time if received.stamp.incarnation else 0.0,
            hold,
            attestations,
        )

    def _attested(self) -> list[_attestations.Attestation]:
        """Tell what this node and those below it attest.

        A node attests nothing before it was current: it may have held a
        version, and counted for its acceptance, before it restarted.
        """
        own = _ranks.weight(self._parts.identity.vm_id)
        attested = [
            one
            for one in self._parts.attestations.recent()
            if one.member != own
        ]
        if self._parts.freshness.is_current():
            attested.append(
                _attestations.Attestation(
                    own,
                    self._parts.identity.incarnation,
                    self._parts.documents.versions(),
                    self._parts.now(),
                )
            )
        return attested

    async def _adopt_newer(
        self, parent: str, reply: _poll_messages.PollReply
    ) -> None:
        self._received_by_vm[parent] = _Received(
            reply.stamp, self._parts.now()
        )
        for index, theirs in enumerate(reply.versions):
            if self._parts.documents.versions()[index] < theirs:
                found = await _fetching.fetch_object(
                    self._parts.peers, parent, index
                )
                await self._parts.documents.adopt(
                    index, found, self._fetch_part
                )
        for index, accepted in enumerate(reply.accepted):
            self._parts.acceptance.learn(index, accepted)

    async def _watch_for_ever(self, index: int) -> None:
        while True:
            if not self._parts.is_watcher():
                await trio.sleep(DIRECT_INTERVAL)
                continue
            await self._source.watch(index)

    async def _probe_for_ever(self, index: int) -> None:
        while True:
            if (
                self._parts.is_watcher()
                or self._parts.freshness.age() > DIRECT_AGE
            ):
                await self._source.probe(index)
                await trio.sleep(_api_source.PROBE_INTERVAL)
            else:
                await trio.sleep(DIRECT_INTERVAL * (0.5 + random.random()))

    async def _retry_for_ever(self) -> None:
        while True:
            members = self._parts.membership.members()
            lost = sorted(members.unreachable)
            if not lost:
                await trio.sleep(RETRY_INTERVAL)
            for vm_id in lost:
                await self._poll(vm_id, 0.0)
                await trio.sleep(RETRY_INTERVAL)

    async def _count_for_ever(self) -> None:
        while True:
            await trio.sleep(COUNT_INTERVAL)
            self._count()

    def _count(self) -> None:
        for one in self._attested():
            self._parts.attestations.add(one)
        electorates = self._parts.membership.members().electorates
        if not electorates:
            return
        attestations = self._parts.attestations.recent()
        if 2 * len(attestations) <= min(map(len, electorates)):
            return
        self._parts.acceptance.count(attestations, electorates)
        as_of = _attestations.as_of_majority(
            attestations, self._parts.documents.versions(), electorates
        )
        if as_of > -math.inf:
            self._parts.freshness.confirm_all(
                as_of, _freshness.Evidence.MAJORITY
            )
