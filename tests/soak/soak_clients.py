"""Clients that check each response, and the checks after a run."""

import contextlib
import dataclasses
import re

import h11
import soak_early
import soak_targets
import trio

TIMEOUT_SECONDS = 3.0

# The routes whose requests may run more than once.
REPEATABLE_KINDS = ('get', 'stream')

# A request that may run only once and gets one of these must not have run at
# a target.
REJECTION_STATUSES = (408, 421, 429, 503)


# Events of comments only, or of nothing, after the end of another one.
_EMPTY_EVENTS = re.compile(rb'(?:(?<=\n\n)|\A)(?:(?::[^\n]*\n)*\n)+')


@dataclasses.dataclass
class Outcome:
    """The result of one request.

    :ivar kind: name of the route
    :ivar status: status of the response, 0 without one
    :ivar is_complete: whether the response ended normally
    :ivar ended_at: end of the response or of the connection
    :ivar problem: error in the response, '' without one
    :ivar target_id: target that signed a successful response
    :ivar body_bytes: size of the request's body, unless its method is GET
    """

    request_id: str
    kind: str
    key: str
    node: str
    sent_at: float
    status: int = 0
    is_complete: bool = False
    ended_at: float = float('inf')
    problem: str = ''
    target_id: str = ''
    body_bytes: int = 100


class Client:
    """Opens one connection at a time and sends several requests on each.

    A share of the requests has long bodies, `upload_share`.
    """

    def __init__(self, name, nodes, operator, rng, outcomes, upload_share=0.0):
        self._upload_share = upload_share
        self._name = name
        self._nodes = nodes
        self._operator = operator
        self._rng = rng
        self._outcomes = outcomes
        self._count = 0

    async def run(self):
        """Send requests until cancelled."""
        while True:
            node = self._rng.choice(self._nodes)
            try:
                with trio.fail_after(1):
                    stream = await trio.open_tcp_stream(
                        node.host, node.front_port
                    )
            except (OSError, trio.TooSlowError):
                await trio.sleep(0.05)
                continue
            with contextlib.suppress(
                trio.BrokenResourceError, trio.ClosedResourceError
            ):
                await self._send_requests(node, stream)
            await trio.aclose_forcefully(stream)

    async def _send_requests(self, node, stream):
        connection = h11.Connection(h11.CLIENT)
        for _ in range(self._rng.randint(1, 6)):
            outcome = self._draw_request(node)
            with trio.move_on_after(TIMEOUT_SECONDS + 1):
                extra = self._extra_headers(outcome.kind)
                await exchange(connection, stream, outcome, extra)
            if connection.states != {
                h11.CLIENT: h11.DONE,
                h11.SERVER: h11.DONE,
            }:
                return
            connection.start_next_cycle()
            await trio.sleep(self._rng.uniform(0, 0.05))

    def _draw_request(self, node):
        self._count += 1
        route, key = self._operator.draw_request(self._rng)
        outcome = Outcome(
            f'{self._name}-{self._count}',
            route,
            key,
            node.name,
            trio.current_time(),
        )
        if self._upload_share and self._rng.random() < self._upload_share:
            outcome.body_bytes = soak_early.UPLOAD_BYTES
        self._outcomes.append(outcome)
        return outcome

    def _extra_headers(self, kind):
        if kind != 'stream':
            return []
        adapter = f'a{min(9, int(self._rng.expovariate(0.4)))}'
        return [('x-mustardlb-model', f'{soak_targets.MODEL}/{adapter}')]


async def exchange(connection, stream, outcome, extra_headers=()):
    """Send the request of an outcome and complete the outcome."""
    try:
        await _exchange(connection, stream, outcome, extra_headers)
    finally:
        outcome.ended_at = trio.current_time()


async def _exchange(connection, stream, outcome, extra_headers):
    await stream.send_all(_request(connection, outcome, extra_headers))
    headers, body = {}, b''
    while True:
        try:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(65536)
                connection.receive_data(data)
                continue
        except h11.RemoteProtocolError as error:
            outcome.problem = str(error)
            break
        if isinstance(event, h11.Response):
            outcome.status = event.status_code
            headers = {k.decode(): v for k, v in event.headers}
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            outcome.is_complete = True
            break
        else:
            break
    if 200 <= outcome.status < 300:
        outcome.problem = _find_problem(outcome, headers, body)


def _request(connection, outcome, extra_headers):
    headers = [
        ('host', 'h'),
        ('x-mustardlb-request-id', outcome.request_id),
        ('x-mustardlb-deadline-ms', str(int(TIMEOUT_SECONDS * 1000))),
        ('x-mustardlb-key', outcome.key),
        *extra_headers,
    ]
    method = 'GET' if outcome.kind == 'get' else 'POST'
    body = b'' if outcome.kind == 'get' else b'x' * outcome.body_bytes
    if body:
        headers.append(('content-length', str(len(body))))
    data = connection.send(
        h11.Request(
            method=method, target=f'/{outcome.kind}/x', headers=headers
        )
    )
    if body:
        data += connection.send(h11.Data(data=body))
    return data + connection.send(h11.EndOfMessage())


def _find_problem(outcome, headers, body):
    """Return the error in a successful response, or an empty string."""
    stamp = headers.get('x-mustardlb-server-stamp', b'.').decode()
    target_id, _, signature = stamp.rpartition('.')
    outcome.target_id = target_id
    if signature != soak_targets.sign(target_id, outcome.request_id):
        return 'the signature is wrong for this request'
    if outcome.kind != 'stream':
        if outcome.is_complete and body != signature.encode():
            return 'the body differs from that of the target'
        return ''
    expected = b''.join(
        soak_targets.stream_event(outcome.request_id, number)
        for number in range(1, soak_targets.EVENT_COUNT + 1)
    )
    # Faulty targets send comments and empty events, which say nothing.
    body = _EMPTY_EVENTS.sub(b'', body)
    if outcome.is_complete and body != expected:
        return 'the stream ended normally without all events'
    if not expected.startswith(body):
        return 'the stream differs from that of the target'
    return ''


def find_violations(outcomes, record):
    """Return a description of each wrong response."""
    violations = list(record.violations)
    for each in outcomes:
        label = f'{each.kind} {each.request_id}'
        runs = record.runs_by_id[each.request_id]
        if each.problem and 200 <= each.status < 300:
            violations.append(f'{label}: {each.problem}')
        if each.kind in REPEATABLE_KINDS:
            continue
        if runs > 1:
            violations.append(f'{label} ran {runs} times')
        if runs and each.status in REJECTION_STATUSES:
            violations.append(
                f'{label} ran and its client received {each.status}'
            )
    return violations
