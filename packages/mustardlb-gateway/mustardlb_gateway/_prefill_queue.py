"""The queue of prompts at an engine, as its controller estimates it."""

import collections

# The value is an order of magnitude for current accelerators. It is used only
# to compare engines with each other.
PREFILL_TOKENS_PER_SECOND = 38_000.0


class PrefillQueue:
    """Estimates when an engine can start to prefill another prompt.

    The digests of all nodes show the prompts that were sent to it some time
    ago and have no output yet. Prompts that nodes have reserved since then are
    added to these.

    >>> queue = PrefillQueue()
    >>> queue.add(19_000, 10.5)
    >>> queue.seconds(10.5, reported_tokens=38_000, load_age=1.0)
    0.5
    >>> queue.seconds(11.0, reported_tokens=0, load_age=1.0)
    0.0
    """

    def __init__(self) -> None:
        # Time and tokens.
        self._reserved: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def add(self, tokens: int, now: float) -> None:
        """Add a prompt that a node is about to send."""
        self._reserved.append((now, tokens))

    def seconds(
        self,
        now: float,
        reported_tokens: int,
        load_age: float,
        slowdown: float = 1.0,
    ) -> float:
        """Return the seconds until all prompts are prefilled.

        :param reported_tokens: tokens to prefill by the digests
        :param load_age: age of the digests, seconds
        :param slowdown: time that prompts take, as a ratio of the usual time
        """
        at = now - load_age
        while self._reserved and self._reserved[0][0] <= at:
            self._reserved.popleft()
        per_second = PREFILL_TOKENS_PER_SECOND / slowdown
        queue = reported_tokens / per_second
        for reserved_at, tokens in self._reserved:
            queue = max(0.0, queue - (reserved_at - at))
            queue += tokens / per_second
            at = reserved_at
        return max(0.0, queue - (now - at))
