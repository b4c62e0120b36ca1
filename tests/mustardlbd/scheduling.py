"""Makes trio run tasks that are ready together in a repeatable order."""

import trio._core._run as trio_run


def seed(number):
    """Seed the random source that the scheduler orders tasks with.

    The hypothesis plugin makes the scheduler use this source alone, but
    seeds it only for tests with @given. Trio has no public function for it.
    """
    assert trio_run._ALLOW_DETERMINISTIC_SCHEDULING
    trio_run._r.seed(number)
