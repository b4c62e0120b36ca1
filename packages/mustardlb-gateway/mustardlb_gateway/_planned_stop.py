"""The end of a node that was asked to stop."""

from collections import abc

import structlog
import trio

from mustardlb_gateway import _gateway
from mustardlb_gateway import http_server

log = structlog.get_logger()

# A stopping node still admits requests for this time, since the load balancer
# removes it after two failed readiness checks, one per second. Those that may
# not be repeated are admitted only if they are likely to end in time, as their
# clients could not tell what became of them.
DRAIN_DELAY_SECONDS = 2.7

# Unfinished responses are cut off this long before the stop timeout.
STOP_MARGIN_SECONDS = 0.5

# A stopping node accepts no connections in this time before its deadline, so
# that the clients whose connections it has accepted can send their requests.
LAST_REQUEST_SECONDS = 0.5

# Time for the errors that end unfinished requests.
LAST_RESPONSES_SECONDS = 0.2

# Interval at which idle connections are closed.
CHECK_INTERVAL_SECONDS = 0.05


async def finish_requests(
    server: http_server.Server,
    gateway: _gateway.Gateway,
    relayed_count: abc.Callable[[], int],
    stop_timeout: float,
    stop_engines: abc.Callable[[], None],
) -> None:
    """Finish the requests in flight, `stop_timeout` seconds at most.

    Requests that are unfinished shortly before the stop timeout get an
    error, and streams are cut off.

    :param relayed_count: returns the connections relayed for other nodes
    :param stop_engines: gives up the control of engines
    """
    started_at = trio.current_time()
    deadline = started_at + stop_timeout - STOP_MARGIN_SECONDS
    server.is_stopping = True
    drain_delay_ends = min(deadline, started_at + DRAIN_DELAY_SECONDS)
    gateway.schedule_stop(_gateway.StopSchedule(drain_delay_ends, deadline))
    stop_engines()
    log.info('MLB-6014', in_flight=server.requests_in_flight)
    await trio.sleep_until(drain_delay_ends)
    accept_until = deadline - LAST_REQUEST_SECONDS
    while trio.current_time() < deadline:
        server.close_idle()
        is_busy = server.has_clients or bool(relayed_count())
        if not is_busy and not server.is_accepting:
            break
        if not is_busy or trio.current_time() >= accept_until:
            server.stop_accepting()
        await trio.sleep(CHECK_INTERVAL_SECONDS)
    unfinished = server.requests_in_flight
    server.end_reading()
    gateway.end_calls()
    await server.wait_for_clients(LAST_RESPONSES_SECONDS)
    log.info(
        'MLB-6015',
        in_flight=unfinished,
        seconds=round(trio.current_time() - started_at, 3),
    )
