from hypothesis import given
from hypothesis import strategies

from mustardlb_gateway import _event_stream


@given(
    strategies.lists(strategies.binary(max_size=20), max_size=8),
    strategies.lists(strategies.integers(1, 7), max_size=60),
)
def test_events_are_complete_for_any_split(payloads, sizes):
    events = [
        b'id: %d\ndata: %s\n\n' % (number, payload.hex().encode())
        for number, payload in enumerate(payloads)
    ]
    data = b''.join(events)
    splitter = _event_stream.EventSplitter()
    received = b''
    for size in sizes:
        complete = splitter.feed(data[:size])
        data = data[size:]
        received += complete
        assert not received or received.endswith(b'\n\n')
    received += splitter.feed(data)
    assert received == b''.join(events)
    assert splitter.partial == b''
    if events:
        assert splitter.last_id == str(len(events) - 1)


def test_incomplete_event_is_buffered():
    splitter = _event_stream.EventSplitter('7')
    assert splitter.feed(b'id: 8\ndata: x\n') == b''
    assert splitter.last_id == '7'
    assert splitter.feed(b'\r\n') == b'id: 8\ndata: x\n\r\n'
    assert splitter.last_id == '8'
