"""A budget that keeps retries a small share of all requests."""

# Retries that each request adds to the budget.
SHARE = 0.1

# Retries that may be made at once after a quiet time.
MOST = 20.0


class RetryBudget:
    """Retries that the node may still make.

    >>> budget = RetryBudget()
    >>> [budget.take() for _ in range(21)].count(True)
    20
    """

    def __init__(self) -> None:
        self._left = MOST

    def add_request(self) -> None:
        """Count a request."""
        self._left = min(self._left + SHARE, MOST)

    def take(self) -> bool:
        """Take one retry; False where none is left."""
        if self._left < 1:
            return False
        self._left -= 1
        return True
