"""Tests of the fault matrix, its table and its generated page."""

import pathlib

import msgspec
import pytest

from mustardlb import steps
from tools import matrix

ROOT = pathlib.Path(__file__).parent.parent
TABLE_TEXT = matrix.TABLE_PATH.read_text()


def encode(cells):
    """Encode cells as a table with one entry for each cell."""
    entries = [
        msgspec.structs.replace(entry, step=step, faults=[fault])
        for (step, fault), entry in cells.items()
    ]
    return msgspec.toml.encode(matrix.Table(entries)).decode()


def test_table_is_complete_and_page_is_current():
    cells = matrix.read_cells(TABLE_TEXT)
    assert len(cells) == len(steps.Step) * len(matrix.Fault)
    matrix.check_tests(cells, ROOT)
    assert matrix.PAGE_PATH.read_text() == matrix.render(cells)


@pytest.mark.parametrize('step', steps.Step)
def test_step_without_cells_is_rejected(step):
    cells = matrix.read_cells(TABLE_TEXT)
    for fault in matrix.Fault:
        del cells[(step, fault)]
    with pytest.raises(matrix.MatrixError, match=f'{step}, .*no cell'):
        matrix.read_cells(encode(cells))


def test_missing_or_duplicate_cell_is_rejected():
    cells = matrix.read_cells(TABLE_TEXT)
    complete = encode(cells)
    cell = (steps.Step.RECORD, matrix.Fault.API_ANSWER_LOST)
    one_cell = encode({cell: cells.pop(cell)})
    with pytest.raises(
        matrix.MatrixError, match='record, api_answer_lost: no'
    ):
        matrix.read_cells(encode(cells))
    with pytest.raises(matrix.MatrixError, match='record, .*given twice'):
        matrix.read_cells(complete + one_cell)


@pytest.mark.parametrize(
    'test_id',
    [
        'tests/test_matrix.py::test_nothing',
        'tests/test_matrix.py::encode',
        'tests/test_matrix.py',
        'tests/test_none.py::test_nothing',
    ],
)
def test_nonexistent_test_is_rejected(test_id):
    step, fault = steps.Step.RECORD, matrix.Fault.API_DOWN
    entry = matrix.Entry(step, [fault], [test_id])
    with pytest.raises(matrix.MatrixError, match='no such test'):
        matrix.check_tests({(step, fault): entry}, ROOT)


def test_entry_with_tests_and_reason_is_rejected():
    with pytest.raises(ValueError, match='not both'):
        matrix.Entry(steps.Step.LOAD, [], ['a.py::test_b'], 'never')
