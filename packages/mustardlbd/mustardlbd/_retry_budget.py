"""A budget that keeps retries a small share of all requests."""

# Retries that each request adds to the budget.
RETRY_RATIO = 0.1

# Retries that may be made at once after a quiet time.
MAX_RETRIES = 20.0


class RetryBudget:
    """Retries that the node may still make.

    >>> budget = RetryBudget()
    >>> [budget.try_acquire() for _ in range(21)].count(True)
    20
    """

    def __init__(self) -> None:
        self._left = MAX_RETRIES

    def add_request(self) -> None:
        """Count a request."""
        self._left = min(self._left + RETRY_RATIO, MAX_RETRIES)

    def try_acquire(self) -> bool:
        """Take one retry; False where none is left."""
        if self._left < 1:
            return False
        self._left -= 1
        return True
