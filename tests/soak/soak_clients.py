"""Clients that check every answer they get."""

import contextlib
import dataclasses

import h11
import soak_targets
import trio

TIMEOUT = 3.0

REFUSED = (408, 421, 429, 503)


@dataclasses.dataclass
class Outcome:
    """What came of one request; `status` 0 where no answer came."""

    request_id: str
    kind: str
    key: str
    node: str
    sent_at: float
    status: int = 0
    is_complete: bool = False
    problem: str = ''


class Client:
    """One connection after the other to nodes, several requests on each."""

    def __init__(self, name, nodes, keys, rng, outcomes):
        self._name = name
        self._nodes = nodes
        self._keys = keys
        self._rng = rng
        self._outcomes = outcomes
        self._count = 0

    async def run(self):
        """Send requests until cancelled."""
        while True:
            node = self._rng.choice(self._nodes)
            try:
                with trio.fail_after(1):
                    stream = await trio.open_tcp_stream(node.host, node.front)
            except (OSError, trio.TooSlowError):
                await trio.sleep(0.05)
                continue
            with contextlib.suppress(
                trio.BrokenResourceError, trio.ClosedResourceError
            ):
                await self._use(node, stream)
            await trio.aclose_forcefully(stream)

    async def _use(self, node, stream):
        connection = h11.Connection(h11.CLIENT)
        for _ in range(self._rng.randint(1, 6)):
            outcome = self._begin(node)
            with trio.move_on_after(TIMEOUT + 1):
                await self._exchange(connection, stream, outcome)
            if connection.states != {
                h11.CLIENT: h11.DONE,
                h11.SERVER: h11.DONE,
            }:
                return
            connection.start_next_cycle()
            await trio.sleep(self._rng.uniform(0, 0.05))

    def _begin(self, node):
        self._count += 1
        outcome = Outcome(
            f'{self._name}-{self._count}',
            self._rng.choice(['get', 'post', 'stream']),
            self._rng.choice(self._keys()),
            node.name,
            trio.current_time(),
        )
        self._outcomes.append(outcome)
        return outcome

    async def _exchange(self, connection, stream, outcome):
        await stream.send_all(self._request(connection, outcome))
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
            outcome.problem = self._check(outcome, headers, body)

    def _request(self, connection, outcome):
        headers = [
            ('host', 'h'),
            ('x-mustardlb-request-id', outcome.request_id),
            ('x-mustardlb-deadline-ms', str(int(TIMEOUT * 1000))),
            ('x-mustardlb-key', outcome.key),
        ]
        if outcome.kind == 'stream':
            adapter = f'a{min(9, int(self._rng.expovariate(0.4)))}'
            headers.append(
                ('x-mustardlb-model', f'{soak_targets.MODEL}/{adapter}')
            )
        method = 'GET' if outcome.kind == 'get' else 'POST'
        body = b'' if outcome.kind == 'get' else b'x' * 100
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

    def _check(self, outcome, headers, body):
        """Return what is wrong with an answer that says success."""
        stamp = headers.get('x-mustardlb-server-stamp', b'.').decode()
        target_id, _, sign = stamp.rpartition('.')
        if sign != soak_targets.signature(target_id, outcome.request_id):
            return 'the signature is not for this request'
        if outcome.kind != 'stream':
            if outcome.is_complete and body != sign.encode():
                return "the body is not the target's"
            return ''
        whole = b''.join(
            soak_targets.stream_event(outcome.request_id, number)
            for number in range(1, soak_targets.EVENTS + 1)
        )
        if outcome.is_complete and body != whole:
            return 'the stream is complete and not whole'
        if not whole.startswith(body):
            return 'the stream has other pieces'
        return ''


def check(outcomes, record, withdrawn):
    """Return what broke a promise, as sentences.

    `withdrawn` gives for a key the time from which no sound node may
    serve it, or None.
    """
    found = list(record.violations)
    for each in outcomes:
        name = f'{each.kind} {each.request_id}'
        runs = record.runs_by_id[each.request_id]
        if each.problem and 200 <= each.status < 300:
            found.append(f'{name}: {each.problem}')
        if each.kind != 'post':
            continue
        if runs > 1:
            found.append(f'{name} ran {runs} times')
        if runs and each.status in REFUSED:
            found.append(f'{name} ran and was answered {each.status}')
    for each in outcomes:
        since = withdrawn(each)
        if since is not None and record.runs_by_id[each.request_id]:
            found.append(
                f'{each.request_id} ran at {each.node} with a key that was '
                f'withdrawn {each.sent_at - since:.1f} s before'
            )
    return found
