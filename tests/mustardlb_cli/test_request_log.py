"""The log lines of one request, from the logs of two nodes."""

import json

import pytest

from mustardlb_cli import _exit
from mustardlb_cli import _request_log


def line(event, second, vm='vm1', **fields):
    fields |= {
        'event': event,
        'vm': vm,
        'timestamp': f'2026-05-04T03:37:{second:06.3f}Z',
    }
    return json.dumps(fields)


@pytest.fixture
def logs(tmp_path):
    one = tmp_path / 'one.log'
    one.write_text(
        '\n'.join(
            [
                line('MLB-6604', 10, request='r1', target='t1'),
                line('MLB-6204', 9.5, target='t1'),
                line('MLB-6204', 9.6, target='t2'),
                line('MLB-6204', 2, target='t1'),
                'not json {"',
                line('MLB-6601', 11, request='r1', seconds=1.2),
                line('MLB-6601', 11, request='r2', seconds=0.2),
            ]
        )
    )
    two = tmp_path / 'two.log'
    two.write_text(
        'prefix '
        + line('MLB-6204', 10.5, vm='vm2', target='t1')
        + '\n'
        + line('MLB-6603', 12, vm='vm2', request='r1')
    )
    return str(one), str(two)


def test_lines_of_a_request_are_ordered_with_their_context(logs):
    shown = _request_log.explain(logs, 'r1')['lines']
    assert [(row['vm'], row['event']) for row in shown] == [
        ('vm1', 'MLB-6204'),
        ('vm1', 'MLB-6604*'),
        ('vm2', 'MLB-6204'),
        ('vm1', 'MLB-6601*'),
        ('vm2', 'MLB-6603*'),
    ]
    assert 'target=t1' in shown[0]['said']


def test_request_without_log_lines(logs):
    with pytest.raises(_exit.CommandError) as raised:
        _request_log.explain(logs, 'r9')
    assert raised.value.code == _exit.ExitCode.NOT_FOUND


def test_missing_log_file():
    with pytest.raises(_exit.CommandError):
        _request_log.explain(('/no/such/file',), 'r1')
