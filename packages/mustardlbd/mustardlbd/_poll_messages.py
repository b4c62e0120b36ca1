"""Encoding and decoding of the messages by which nodes poll each other."""

from collections import abc
import dataclasses
import itertools
import math

from mustardlb import schema
from mustardlbd import _attestations

# Durations are sent as integers, rounded so that a confirmation never looks
# more recent than it is.
_MS_PER_SECOND = 1_000
_US_PER_SECOND = 1_000_000
_MAX_UINT32 = 2**32 - 1


class BadMessage(ValueError):
    """A poll or reply cannot be decoded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stamp:
    """A reading of a node's clock, meaningful to that process only.

    :ivar time: the reading
    :ivar incarnation: the process that read it, 0 for no stamp
    """

    time: float = 0.0
    incarnation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Long poll of a node to one of its parents.

    :ivar versions: held by the poller, in the order of TRACKED
    :ivar accepted: newest accepted versions that the poller knows
    :ivar stamp: the last stamp that the poller received from this parent
    :ivar since_stamp: seconds from its receipt to this poll
    :ivar hold: longest time to hold the poll without changes, seconds
    :ivar age: staleness of the poller's confirmed state, seconds
    :ivar step: a state confirmed later by this much ends the hold, seconds
    :ivar attestations: of the poller and of the nodes below it; `made` is
        relative to the receipt of the stamp
    """

    versions: tuple[int, ...]
    accepted: tuple[int, ...]
    stamp: Stamp
    since_stamp: float
    hold: float
    age: float
    step: float
    attestations: list[_attestations.Attestation]


@dataclasses.dataclass(frozen=True, slots=True)
class PollReply:
    """Reply of a polled node.

    :ivar age: staleness of its confirmed state, seconds
    :ivar held: seconds from its receipt of the poll to this reply
    """

    versions: tuple[int, ...]
    accepted: tuple[int, ...]
    stamp: Stamp
    age: float
    held: float


def encode_poll(poll: Poll) -> bytes:
    """Encode a poll, its attestations grouped by versions."""

    def versions(one: _attestations.Attestation) -> tuple[int, ...]:
        return one.versions

    groups = [
        {
            'versions': held,
            'members': [one.member for one in group],
            'incarnations': [one.incarnation for one in group],
            'ages': [
                _round_up(poll.since_stamp - one.made, _MS_PER_SECOND)
                for one in group
            ],
        }
        for held, group in (
            (held, list(found))
            for held, found in itertools.groupby(
                sorted(poll.attestations, key=versions), versions
            )
        )
    ]
    return (
        schema.load('state')
        .Poll.new_message(
            versions=poll.versions,
            accepted=poll.accepted,
            stamp=poll.stamp.time,
            stampIncarnation=poll.stamp.incarnation,
            sinceStamp=_round_down(poll.since_stamp, _US_PER_SECOND),
            hold=int(poll.hold * _MS_PER_SECOND),
            age=_round_up(poll.age, _MS_PER_SECOND),
            step=int(poll.step * _MS_PER_SECOND),
            groups=groups,
        )
        .to_bytes_packed()
    )


def decode_poll(payload: bytes) -> Poll:
    """Decode a poll. Raises BadMessage."""
    try:
        found = schema.load('state').Poll.from_bytes_packed(payload)
        since_stamp = found.sinceStamp / _US_PER_SECOND
        attestations = [
            _attestations.Attestation(
                member, incarnation, held, since_stamp - age / _MS_PER_SECOND
            )
            for group in found.groups
            for held in (tuple(group.versions),)
            for member, incarnation, age in zip(
                group.members, group.incarnations, group.ages, strict=True
            )
        ]
        return Poll(
            tuple(found.versions),
            tuple(found.accepted),
            Stamp(found.stamp, found.stampIncarnation),
            since_stamp,
            found.hold / _MS_PER_SECOND,
            found.age / _MS_PER_SECOND,
            found.step / _MS_PER_SECOND,
            attestations,
        )
    except Exception as error:  # pycapnp raises its own types
        raise BadMessage(str(error).partition('\n')[0]) from error


def encode_reply(reply: PollReply) -> bytes:
    """Encode a reply."""
    return (
        schema.load('state')
        .PollReply.new_message(
            versions=reply.versions,
            accepted=reply.accepted,
            stamp=reply.stamp.time,
            stampIncarnation=reply.stamp.incarnation,
            age=_round_up(reply.age, _US_PER_SECOND),
            held=_round_down(reply.held, _US_PER_SECOND),
        )
        .to_bytes_packed()
    )


def decode_reply(payload: bytes) -> PollReply:
    """Decode a reply. Raises BadMessage."""
    try:
        found = schema.load('state').PollReply.from_bytes_packed(payload)
        return PollReply(
            tuple(found.versions),
            tuple(found.accepted),
            Stamp(found.stamp, found.stampIncarnation),
            math.inf
            if found.age == _MAX_UINT32
            else found.age / _US_PER_SECOND,
            found.held / _US_PER_SECOND,
        )
    except Exception as error:  # pycapnp raises its own types
        raise BadMessage(str(error).partition('\n')[0]) from error


def _round_up(seconds: float, unit: int) -> int:
    """Round up to an integer number of units, at least 0.

    An attestation made after the clock was read has a negative age.
    """
    return max(0, math.ceil(min(seconds * unit, _MAX_UINT32)))


def _round_down(seconds: float, unit: int) -> int:
    """Round down to an integer number of units, at least 0."""
    return max(0, math.floor(min(seconds * unit, _MAX_UINT32)))


def has_newer(ours: abc.Iterable[int], theirs: abc.Iterable[int]) -> bool:
    """Return whether any of our versions is above theirs.

    >>> has_newer((1, 3), (1, 2))
    True
    """
    return any(mine > other for mine, other in zip(ours, theirs, strict=False))
