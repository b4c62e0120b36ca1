"""Messages by which a node polls another, to bytes and back."""

from collections import abc
import dataclasses
import itertools
import math

from mustardlb import schema
from mustardlbd import _attestations

# Durations are sent as whole numbers, rounded so that what is known never
# looks newer than it is.
_MS = 1_000
_US = 1_000_000
_LONGEST = 2**32 - 1


class BadMessage(ValueError):
    """The bytes are not the message expected."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stamp:
    """A reading of a node's clock, which only that process can use.

    :ivar time: the reading
    :ivar incarnation: the process that read it, 0 for no stamp
    """

    time: float = 0.0
    incarnation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """What a node tells the one it polls.

    :ivar stamp: the last stamp that the poller got from it
    :ivar since_stamp: seconds from then to the sending of this message
    :ivar hold: longest time to wait for news, seconds
    :ivar age: of the poller's knowledge, seconds
    :ivar step: knowledge newer by this much is news, seconds
    :ivar attestations: of the poller and of those below it; `made` is
        relative to the moment of the stamp
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
    """What a polled node answers.

    :ivar age: seconds since the moment that its knowledge is as of
    :ivar held: seconds from its getting the poll to this reply
    """

    versions: tuple[int, ...]
    accepted: tuple[int, ...]
    stamp: Stamp
    age: float
    held: float


def encode_poll(poll: Poll) -> bytes:
    """Serialize a poll, its attestations grouped by versions."""

    def versions(one: _attestations.Attestation) -> tuple[int, ...]:
        return one.versions

    groups = [
        {
            'versions': held,
            'members': [one.member for one in group],
            'incarnations': [one.incarnation for one in group],
            'ages': [_up(poll.since_stamp - one.made, _MS) for one in group],
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
            sinceStamp=_down(poll.since_stamp, _US),
            hold=int(poll.hold * _MS),
            age=_up(poll.age, _MS),
            step=int(poll.step * _MS),
            groups=groups,
        )
        .to_bytes_packed()
    )


def decode_poll(payload: bytes) -> Poll:
    """Read a poll. Raises BadMessage."""
    try:
        found = schema.load('state').Poll.from_bytes_packed(payload)
        since_stamp = found.sinceStamp / _US
        attestations = [
            _attestations.Attestation(
                member, incarnation, held, since_stamp - age / _MS
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
            found.hold / _MS,
            found.age / _MS,
            found.step / _MS,
            attestations,
        )
    except Exception as error:  # the library's own exceptions
        raise BadMessage(str(error).partition('\n')[0]) from error


def encode_reply(reply: PollReply) -> bytes:
    """Serialize a reply."""
    return (
        schema.load('state')
        .PollReply.new_message(
            versions=reply.versions,
            accepted=reply.accepted,
            stamp=reply.stamp.time,
            stampIncarnation=reply.stamp.incarnation,
            age=_up(reply.age, _US),
            held=_down(reply.held, _US),
        )
        .to_bytes_packed()
    )


def decode_reply(payload: bytes) -> PollReply:
    """Read a reply. Raises BadMessage."""
    try:
        found = schema.load('state').PollReply.from_bytes_packed(payload)
        return PollReply(
            tuple(found.versions),
            tuple(found.accepted),
            Stamp(found.stamp, found.stampIncarnation),
            math.inf if found.age == _LONGEST else found.age / _US,
            found.held / _US,
        )
    except Exception as error:  # the library's own exceptions
        raise BadMessage(str(error).partition('\n')[0]) from error


def _up(seconds: float, unit: int) -> int:
    """Round up to a whole number of units, at least 0.

    What was attested after the clock was read has an age below 0.
    """
    return max(0, math.ceil(min(seconds * unit, _LONGEST)))


def _down(seconds: float, unit: int) -> int:
    """Round down to a whole number of units."""
    return max(0, math.floor(min(seconds * unit, _LONGEST)))


def has_newer(ours: abc.Iterable[int], theirs: abc.Iterable[int]) -> bool:
    """Whether any of our versions is above theirs.

    >>> has_newer((1, 3), (1, 2))
    True
    """
    return any(mine > other for mine, other in zip(ours, theirs, strict=False))
