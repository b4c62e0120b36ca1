"""The order of tasks that trio wakes together, the same in every run."""

import trio._core._run as trio_run


def seed(number):
    """Seed the scheduler's random source.

    The plugin of hypothesis makes the scheduler use nothing else, but seeds
    it for tests with @given alone; trio has no public way to.
    """
    assert trio_run._ALLOW_DETERMINISTIC_SCHEDULING
    trio_run._r.seed(number)
