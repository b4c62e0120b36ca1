"""The platform's wire names occur only in its adapter."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
NAMES = re.compile(
    r'x-mustardlb-|cold_remaining_ms|MUSTARDLB_BOOT|fencing_token|'
    r'kv_used|weighted_backends|api_keys|server-load|cold-ms|cold_start_s|'
    r'cold_per_s\b|cold_over|cold_slack|evacuation_ms|gap_aim_ms',
    re.IGNORECASE,
)
SOURCES = sorted((ROOT / 'packages').glob('*/*/**/*.py'))


@pytest.mark.parametrize('source', SOURCES, ids=lambda path: path.stem)
def test_package_contains_no_wire_name_of_the_platform(source):
    assert not NAMES.search(source.read_text())
