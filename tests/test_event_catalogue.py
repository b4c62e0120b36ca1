"""Each event of the gateway and its adapter is in docs/events.md once."""

import collections
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
NUMBER = re.compile(r'MLB-[67]\d{3}')


def test_events_in_code_match_catalogue():
    sources = [
        *ROOT.glob('packages/mustardlb-gateway/**/*.py'),
        *ROOT.glob('platform/**/*.py'),
    ]
    in_code = {
        number
        for source in sources
        for number in NUMBER.findall(source.read_text())
    }
    rows = [
        line.split()[1]
        for line in (ROOT / 'docs/events.md').read_text().splitlines()
        if line.startswith('| MLB-')
    ]
    catalogued = collections.Counter(
        row for row in rows if NUMBER.fullmatch(row)
    )
    assert set(catalogued) == in_code
    assert set(catalogued.values()) == {1}
