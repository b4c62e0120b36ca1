"""Tokens served lately to each client account."""

import dataclasses
import math

# Short against the minutes for which an account sends more than usual, and
# long against the interval between the calls of an account at one engine.
HALF_LIFE_SECONDS = 10.0

# Half-life of the sums that show what is usual for an account.
USUAL_HALF_LIFE_SECONDS = 300.0

# An account with more than this multiple of its usual tokens, and with more
# than an even share of all accounts' tokens, is served after the others.
# Trials with 2.0 let a large account displace a sixth of the others' calls
# that were in time, 1.5 less than a tenth.
EXCESS_RATIO = 1.5

# Tokens of a short prompt. Accounts differ in rank only if one was served
# about twice as much as the other, so that among similar ones the adapter
# with the most waiting calls is loaded first.
STEP_TOKENS = 1000.0

MAX_ACCOUNTS = 512


@dataclasses.dataclass(slots=True)
class _Sums:
    """Decaying sums of one account, as of a time."""

    lately: float
    usually: float
    at: float

    def advance(self, now: float) -> None:
        seconds = now - self.at
        self.lately *= 0.5 ** (seconds / HALF_LIFE_SECONDS)
        self.usually *= 0.5 ** (seconds / USUAL_HALF_LIFE_SECONDS)
        self.at = now


class ServedTokens:
    """Decaying sums of the tokens served, by account.

    >>> served = ServedTokens()
    >>> served.record('acme', 8000, 0.0)
    >>> served.tokens('acme', 10.0)
    4000.0
    >>> served.rank('acme', 10.0), served.rank('other', 10.0)
    (2, 0)
    """

    def __init__(self) -> None:
        self._sums_by_account: dict[str, _Sums] = {}
        self._started_at: float | None = None

    def record(self, account: str, tokens: float, now: float) -> None:
        """Add tokens that were served to an account."""
        if self._started_at is None:
            self._started_at = now
        sums = self._sums_by_account.setdefault(account, _Sums(0.0, 0.0, now))
        sums.advance(now)
        sums.lately += tokens
        sums.usually += tokens
        if len(self._sums_by_account) > MAX_ACCOUNTS:
            by_tokens = sorted(
                self._sums_by_account,
                key=lambda each: self._sums_by_account[each].usually,
            )
            for each in by_tokens[: len(by_tokens) // 2]:
                del self._sums_by_account[each]

    def tokens(self, account: str, now: float) -> float:
        """Return the decayed sum of an account, 0 if it is unknown."""
        sums = self._sums_by_account.get(account)
        if sums is None:
            return 0.0
        sums.advance(now)
        return sums.lately

    def rank(self, account: str, now: float) -> int:
        """Return the rank of an account among others, 0 is served first."""
        return int(math.log2(1 + self.tokens(account, now) / STEP_TOKENS))

    def in_excess(self, now: float) -> set[str]:
        """Return the accounts that were served far more than usual."""
        if self._started_at is None:
            return set()
        age = now - self._started_at
        # The sums of a constant rate have these values, in seconds of it.
        lately = _window(HALF_LIFE_SECONDS, age)
        usually = _window(USUAL_HALF_LIFE_SECONDS, age)
        for sums in self._sums_by_account.values():
            sums.advance(now)
        recent = {
            account: sums
            for account, sums in self._sums_by_account.items()
            if sums.lately >= 1
        }
        total = sum(sums.lately for sums in recent.values())
        return {
            account
            for account, sums in recent.items()
            if sums.lately * len(recent) > total
            and sums.lately * usually > EXCESS_RATIO * sums.usually * lately
        }


def _window(half_life: float, age: float) -> float:
    return half_life / math.log(2) * (1 - 0.5 ** (age / half_life))
