"""Write docs/fault-matrix.md: which tests inject which fault at which step.

Reads tools/matrix.toml. Each cell, of one step and one fault, lists the tests
that inject the fault at the step, says why it cannot occur, or is open.
"""

import ast
from collections import abc
import enum
import pathlib

import msgspec

from mustardlb import steps

ROOT = pathlib.Path(__file__).parent.parent
TABLE_PATH = ROOT / 'tools' / 'matrix.toml'
PAGE_PATH = ROOT / 'docs' / 'fault-matrix.md'

HEADER = """\
# Faults at steps

Written by `make matrix` from `tools/matrix.toml`; do not edit. A cell is shown
if a test injects the fault at the step, and open if none does. A test that
draws its faults at random is listed only where a count of the drawn faults
includes the fault. Faults are single; only the fuzz tests combine them.
"""


class Fault(enum.StrEnum):
    """A fault that can occur at a step."""

    API_SLOW = 'api_slow'
    API_DOWN = 'api_down'
    API_ANSWER_LOST = 'api_answer_lost'
    API_DELAYED_WRITE = 'api_delayed_write'
    NODE_PAUSED = 'node_paused'
    NODE_KILLED = 'node_killed'
    NODE_RESTARTED = 'node_restarted'
    NODE_REPLACED = 'node_replaced'
    PARTITION_BOTH_WAYS = 'partition_both_ways'
    PARTITION_ONE_WAY = 'partition_one_way'
    MESSAGE_DROPPED = 'message_dropped'
    MESSAGE_DUPLICATED = 'message_duplicated'
    MESSAGE_REORDERED = 'message_reordered'
    ENGINE_RESTART = 'engine_restart'
    ENGINE_LOAD_FAILURE = 'engine_load_failure'
    ENGINE_SLOW = 'engine_slow'
    ENGINE_HUNG = 'engine_hung'
    ENGINE_WRONG_ANSWER = 'engine_wrong_answer'
    VM_LIST_LATE = 'vm_list_late'
    OPERATORS_RACING = 'operators_racing'
    KEY_WITHDRAWN = 'key_withdrawn'


class Verdict(enum.StrEnum):
    """State of a cell."""

    SHOWN = 'shown'
    CANNOT_OCCUR = 'cannot occur'
    OPEN = 'open'


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cells of one step that have the same tests or the same reason.

    :ivar tests: ids of tests that inject each of the faults
    :ivar why: reason why none of the faults can occur
    """

    step: steps.Step
    faults: list[Fault]
    tests: list[str] = []
    why: str = ''

    def __post_init__(self) -> None:
        if self.tests and self.why:
            raise ValueError('a cell has tests or a reason, not both')

    @property
    def verdict(self) -> Verdict:
        """State of the cells."""
        if self.tests:
            return Verdict.SHOWN
        return Verdict.CANNOT_OCCUR if self.why else Verdict.OPEN


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of tools/matrix.toml."""

    entry: list[Entry]


class MatrixError(Exception):
    """A cell is missing or duplicated, or a test does not exist."""


Cells = dict[tuple[steps.Step, Fault], Entry]


def read_cells(text: str) -> Cells:
    """Decode the table; raises MatrixError for a missing or duplicate cell."""
    table = msgspec.toml.decode(text, type=Table)
    cells: Cells = {}
    for entry in table.entry:
        for fault in entry.faults:
            if (entry.step, fault) in cells:
                raise MatrixError(f'{entry.step}, {fault}: given twice')
            cells[(entry.step, fault)] = entry
    for step in steps.Step:
        for fault in Fault:
            if (step, fault) not in cells:
                raise MatrixError(f'{step}, {fault}: no cell')
    return cells


def check_tests(cells: Cells, root: pathlib.Path) -> None:
    """Raise MatrixError if a test in the table does not exist."""
    ids = sorted(
        {test_id for entry in cells.values() for test_id in entry.tests}
    )
    names_by_file: dict[str, set[str]] = {}
    for test_id in ids:
        file, _, name = test_id.partition('::')
        if file not in names_by_file:
            names_by_file[file] = set(_read_names(root / file))
        if name not in names_by_file[file]:
            raise MatrixError(f'{test_id}: no such test')


def _read_names(path: pathlib.Path) -> abc.Iterator[str]:
    if not path.is_file():
        return
    for node in ast.parse(path.read_text()).body:
        if not isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            continue
        if node.name.startswith('test_'):
            yield node.name


def render(cells: Cells) -> str:
    """Return the text of the page."""
    lines = [HEADER, _render_counts(cells)]
    for step in steps.Step:
        lines += [f'## {step}\n', '| fault | verdict | by |', '| --- ' * 3]
        lines[-1] += '|'
        for fault in Fault:
            entry = cells[(step, fault)]
            by = entry.why or ', '.join(
                f'`{test_id}`' for test_id in entry.tests
            )
            lines.append(f'| {fault} | {entry.verdict} | {by} |')
        lines.append('')
    return '\n'.join(lines)


def _render_counts(cells: Cells) -> str:
    lines = ['| step | shown | cannot occur | open |', '| --- ' * 4 + '|']
    for step in steps.Step:
        step_verdicts = [cells[(step, fault)].verdict for fault in Fault]
        lines.append(_render_row(step, step_verdicts))
    verdicts = [entry.verdict for entry in cells.values()]
    lines.append(_render_row('all', verdicts))
    return '\n'.join([*lines, ''])


def _render_row(name: str, verdicts: list[Verdict]) -> str:
    counts = [str(verdicts.count(verdict)) for verdict in Verdict]
    return f'| {name} | {" | ".join(counts)} |'


def main() -> None:
    """Write the page and print the counts."""
    cells = read_cells(TABLE_PATH.read_text())
    check_tests(cells, ROOT)
    PAGE_PATH.write_text(render(cells))
    print(_render_counts(cells))


if __name__ == '__main__':
    main()
