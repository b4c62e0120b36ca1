"""Short runs with two builds; `soak_builds.py` says what happens in them."""

import pytest
import soak_builds

SECONDS = 12.0


# The earlier build takes its turn in longer runs, by hand.
@pytest.mark.parametrize('commit', soak_builds.OLDER_BUILDS[:1])
async def test_promises_hold_while_builds_are_replaced(commit, tmp_path):
    """Guards against builds that misread or drop each other's messages."""
    root = soak_builds.unpack_build(commit, tmp_path)
    run = soak_builds.BuildsSoak(1, tmp_path, root, nodes=3)
    assert await run.run(SECONDS) == []
    # Both builds have run together, and nodes were judged.
    assert run.replacements >= 3
    assert run.judged_count


def test_lacking_commit_is_named(tmp_path):
    """Guards against a clone without history in which nothing is tested."""
    with pytest.raises(RuntimeError, match='lacks commit'):
        soak_builds.unpack_build('0' * 40, tmp_path)
