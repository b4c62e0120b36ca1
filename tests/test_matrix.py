"""The fault matrix is whole, names real tests, and its page is current."""

import pathlib

import msgspec
import pytest

from mustardlb import steps
from tools import matrix

ROOT = pathlib.Path(__file__).parent.parent
TEXT = matrix.TABLE.read_text()


def encode(cells):
    """Write cells as a table, one entry each."""
    entries = [
        msgspec.structs.replace(entry, step=step, faults=[fault])
        for (step, fault), entry in cells.items()
    ]
    return msgspec.toml.encode(matrix.Table(entries)).decode()


def test_the_table_is_whole_and_its_page_is_current():
    cells = matrix.read_cells(TEXT)
    assert len(cells) == len(steps.Step) * len(matrix.Fault)
    matrix.check_tests(cells, ROOT)
    assert matrix.PAGE.read_text() == matrix.render(cells)


@pytest.mark.parametrize('step', steps.Step)
def test_a_step_without_a_row_is_noticed(step):
    cells = matrix.read_cells(TEXT)
    for fault in matrix.Fault:
        del cells[(step, fault)]
    with pytest.raises(matrix.BadTable, match=f'{step}, .*no cell'):
        matrix.read_cells(encode(cells))


def test_a_cell_that_is_missing_or_given_twice_is_noticed():
    cells = matrix.read_cells(TEXT)
    whole = encode(cells)
    cell = (steps.Step.RECORD, matrix.Fault.API_ANSWER_LOST)
    only = encode({cell: cells.pop(cell)})
    with pytest.raises(matrix.BadTable, match='record, api_answer_lost: no'):
        matrix.read_cells(encode(cells))
    with pytest.raises(matrix.BadTable, match='record, .*given twice'):
        matrix.read_cells(whole + only)


@pytest.mark.parametrize(
    'test_id',
    [
        'tests/test_matrix.py::test_nothing',
        'tests/test_matrix.py::encode',
        'tests/test_matrix.py',
        'tests/test_none.py::test_nothing',
    ],
)
def test_a_test_that_does_not_exist_is_noticed(test_id):
    step, fault = steps.Step.RECORD, matrix.Fault.API_DOWN
    entry = matrix.Entry(step, [fault], [test_id])
    with pytest.raises(matrix.BadTable, match='no such test'):
        matrix.check_tests({(step, fault): entry}, ROOT)


def test_tests_and_a_reason_exclude_each_other():
    with pytest.raises(ValueError, match='not both'):
        matrix.Entry(steps.Step.LOAD, [], ['a.py::test_b'], 'never')
