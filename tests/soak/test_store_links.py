"""Changes are in force in time while the links to the store fail.

Each node is a process of its own. `tools/store_links.py` runs the same cases
with any number of nodes and with the code of any folder.
"""

import pytest
import soak_links

NODE_COUNT = 4


@pytest.mark.parametrize('name', soak_links.CASES_BY_NAME)
async def test_changes_are_in_force_at_all_nodes(name, tmp_path):
    """Guards against nodes that keep an older configuration or target."""
    report = await soak_links.run_case(name, tmp_path, NODE_COUNT)
    assert report.violations == ()
    assert report.unserved_count == 0
