"""A budget that limits retries to a fraction of all requests."""

# Retries that each request adds to the budget.
RETRIES_PER_REQUEST = 0.1

# Upper bound of the budget, and so of a burst of retries.
MAX_RETRIES = 20.0


class RetryBudget:
    """Number of retries that the node may still make.

    >>> budget = RetryBudget()
    >>> [budget.try_acquire() for _ in range(21)].count(True)
    20
    """

    def __init__(self) -> None:
        self._remaining = MAX_RETRIES

    def add_request(self) -> None:
        """Add the share of one request to the budget."""
        self._remaining = min(
            self._remaining + RETRIES_PER_REQUEST, MAX_RETRIES
        )

    def try_acquire(self) -> bool:
        """Take one retry; return False when the budget is exhausted."""
        if self._remaining < 1:
            return False
        self._remaining -= 1
        return True
