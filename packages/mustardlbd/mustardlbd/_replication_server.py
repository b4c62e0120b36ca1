"""Server side of replication: polls and requests of nodes below."""

import dataclasses

import trio

from mustardlb import errors
from mustardlb import schema
from mustardlb import steps
from mustardlbd import _components
from mustardlbd import _documents
from mustardlbd import _peer_server
from mustardlbd import _poll_messages
from mustardlbd import _tree_layout

POLL = 'state.poll'
OBJECT = 'state.object'
PART = 'state.part'
LAST_GOOD = 'state.kept'

# Longest time that a node holds a poll.
MAX_HOLD_SECONDS = 4.0


class ReplicationServer:
    """Serves the objects that this node holds to other nodes."""

    def __init__(self, components: _components.Components) -> None:
        self._components = components

    def register(self, server: _peer_server.PeerServer) -> None:
        """Register the services of replication."""
        server.register(POLL, self._handle_poll)
        server.register(OBJECT, self._handle_object)
        server.register(PART, self._handle_part)
        server.register(LAST_GOOD, self._handle_last_good)

    async def _handle_poll(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        received_at = self._components.now()
        poll = _poll_messages.decode_poll(payload)
        self._record_attestations(sender, poll)
        with trio.move_on_after(min(poll.hold, MAX_HOLD_SECONDS)):
            while not self._has_newer(poll, received_at):
                await self._components.changed.wait()
        now = self._components.now()
        return _poll_messages.encode_reply(
            _poll_messages.PollReply(
                self._components.documents.versions(),
                self._components.acceptance.accepted(),
                _poll_messages.Stamp(
                    now, self._components.identity.incarnation
                ),
                self._components.freshness.staleness(),
                now - received_at,
            )
        )

    def _has_newer(
        self, poll: _poll_messages.Poll, received_at: float
    ) -> bool:
        newer_by = self._components.freshness.confirmed_at() - (
            received_at - poll.age
        )
        return (
            newer_by >= poll.step
            or _poll_messages.has_newer(
                self._components.documents.versions(), poll.versions
            )
            or _poll_messages.has_newer(
                self._components.acceptance.accepted(), poll.accepted
            )
        )

    def _record_attestations(
        self, sender: _peer_server.Sender, poll: _poll_messages.Poll
    ) -> None:
        relayed = sender.vm_id in self._components.tree.watchers()
        # The times of the attestations are relative to the poll's stamp, which
        # is meaningful only if this process read it from its clock.
        if poll.stamp.incarnation != self._components.identity.incarnation:
            return
        for one in poll.attestations:
            self._components.attestations.add(
                dataclasses.replace(one, made=poll.stamp.time + one.made),
                relayed and one.member != _tree_layout.vm_hash(sender.vm_id),
            )

    async def _handle_object(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        with schema.load('state').ObjectRequest.from_bytes(payload) as request:
            index = request.index
        if index >= len(_documents.TRACKED):
            raise errors.Error(
                errors.Code.BAD_REQUEST,
                f'no tracked object {index}',
                steps.Step.SPREAD,
            )
        found = self._components.documents.tracked(index)
        reply = schema.load('state').ObjectReply.new_message(
            version=found.version, value=found.value
        )
        return reply.to_bytes_packed()

    async def _handle_last_good(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        kept = [
            {'name': name, 'revision': entry.revision, 'parts': entry.parts}
            for name, entry in (
                self._components.documents.last_good_entries().items()
            )
        ]
        reply = schema.load('state').KeptReply.new_message(kept=kept)
        return reply.to_bytes_packed()

    async def _handle_part(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        with schema.load('state').PartRequest.from_bytes(payload) as request:
            part = self._components.documents.part(request.hash)
        reply = schema.load('state').PartReply.new_message(
            found=part is not None, value=part or b''
        )
        return reply.to_bytes_packed()
