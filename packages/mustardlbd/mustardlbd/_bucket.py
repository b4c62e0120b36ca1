"""The token bucket of one share, with refunds that never mint tokens."""

import bisect
import dataclasses
import math

# Takings that may still be settled; past it the oldest is charged in full.
MOST_OPEN = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """What a contract grants over the whole fleet.

    :ivar rate: tokens a second
    :ivar burst: tokens
    """

    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Tokens that were taken and may be given back in part.

    :ivar sequence: place among the takings of the bucket
    """

    tokens: float
    sequence: int


class Headroom:
    """The least space left in the bucket since any earlier taking.

    Suffix minima as a monotone stack: sequence numbers and spaces both
    grow, so the least space since a taking is the first entry after it.
    """

    def __init__(self) -> None:
        self._sequences: list[int] = []
        self._spaces: list[float] = []

    def note(self, sequence: int, space: float) -> None:
        """Note the space that there is after the taking `sequence`."""
        while self._spaces and self._spaces[-1] >= space:
            self._spaces.pop()
            self._sequences.pop()
        self._sequences.append(sequence)
        self._spaces.append(space)

    def least_since(self, sequence: int) -> float:
        """Return the least space noted since a taking."""
        index = bisect.bisect_left(self._sequences, sequence)
        return self._spaces[index] if index < len(self._spaces) else 0.0

    def use(self, sequence: int, tokens: float) -> None:
        """Lower the spaces since a taking by tokens that came back."""
        index = bisect.bisect_left(self._sequences, sequence)
        spaces = self._spaces[index:]
        sequences = self._sequences[index:]
        del self._spaces[index:], self._sequences[index:]
        for noted, space in zip(sequences, spaces, strict=True):
            self.note(noted, space - tokens)

    def forget_before(self, sequence: int) -> None:
        """Drop what no open taking can ask for."""
        index = bisect.bisect_left(self._sequences, sequence)
        del self._spaces[:index], self._sequences[:index]


class Bucket:
    """Tokens that refill at a rate up to a capacity; starts empty."""

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self.rate = 0.0
        self.capacity = 0.0
        self._filled_at = now
        self._sequence = 0
        self._headroom = Headroom()
        self._open: dict[int, float] = {}

    def refill(self, now: float) -> None:
        """Add what has flowed in since the last call."""
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        self._set(min(self.capacity, self.level + self.rate * elapsed))

    def resize(self, now: float, rate: float, capacity: float) -> float:
        """Take a new rate and capacity; return the tokens cut off."""
        self.refill(now)
        cut = max(0.0, self.level - capacity)
        self.rate = rate
        self.capacity = capacity
        self._set(self.level - cut)
        return cut

    def add(self, tokens: float) -> None:
        """Put tokens in, up to the capacity."""
        self._set(min(self.capacity, self.level + tokens))

    def remove(self, tokens: float) -> float:
        """Take out up to that many tokens for good; return how many."""
        removed = min(self.level, max(0.0, tokens))
        self.level -= removed
        return removed

    def take(self, now: float, tokens: float) -> Hold | None:
        """Take tokens to be settled later; None where they lack."""
        self.refill(now)
        if tokens > self.level:
            return None
        self._sequence += 1
        self._open[self._sequence] = tokens
        if len(self._open) > MOST_OPEN:
            self._open.pop(next(iter(self._open)))
        self.level -= tokens
        return Hold(tokens, self._sequence)

    def settle(self, now: float, hold: Hold, used: float) -> float:
        """Give back what was not used; return the tokens credited.

        The credit is what the bucket would hold more, had only the used
        tokens been taken: where it ran full since, less or nothing.
        """
        self.refill(now)
        if self._open.pop(hold.sequence, None) is None:
            return 0.0
        unused = max(0.0, hold.tokens - max(0.0, used))
        least = self._headroom.least_since(hold.sequence)
        credit = min(unused, max(0.0, least))
        self._headroom.use(hold.sequence, credit)
        self._set(self.level + credit)
        self._forget()
        return credit

    def lack_time(self, tokens: float) -> float:
        """Seconds until that many tokens are there, if nothing changes."""
        if tokens <= self.level:
            return 0.0
        if tokens > self.capacity or self.rate <= 0.0:
            return math.inf
        return (tokens - self.level) / self.rate

    def _set(self, level: float) -> None:
        self.level = level
        if self._open:
            self._headroom.note(self._sequence, self.capacity - level)

    def _forget(self) -> None:
        oldest = next(iter(self._open), self._sequence + 1)
        self._headroom.forget_before(oldest)
