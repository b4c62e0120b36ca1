import os

from mustardlb_gateway import logs


class Pipe:
    def __init__(self):
        self.reading, writing = os.pipe()
        os.set_blocking(writing, False)
        os.set_blocking(self.reading, False)
        self.now = 0.0
        self.writer = logs.BoundedWriter(writing, lambda: self.now)

    def read(self):
        data = b''
        while True:
            try:
                data += os.read(self.reading, 65536)
            except BlockingIOError:
                return data.decode().splitlines()


def test_lines_beyond_the_bound_are_dropped_and_counted():
    pipe = Pipe()
    for number in range(int(logs.BURST_LINES) + 50):
        pipe.writer.msg(f'line {number}')
    assert len(pipe.read()) == logs.BURST_LINES
    pipe.now = 1.0
    pipe.writer.msg('later')
    assert pipe.read() == ['{"event":"MLB-6010","dropped":50}', 'later']


def test_reader_that_stands_still_is_not_waited_for():
    pipe = Pipe()
    for _ in range(300):
        pipe.writer.msg('x' * 1000)
    first = pipe.read()
    assert pipe.writer.dropped > 0
    pipe.writer.msg('again')
    rest = pipe.read()
    # No line is mixed with another, whatever was dropped between them.
    text = '\n'.join(first + rest).replace('\n' + 'x' * 1000, '')
    assert text.endswith('again')
    assert 'MLB-6010' in text


def test_reader_that_has_gone_is_no_fault():
    pipe = Pipe()
    os.close(pipe.reading)
    pipe.writer.msg('nobody')
    assert pipe.writer.dropped == 0
