"""Serves an application with hypercorn on trio and stops it gracefully."""

from collections import abc
import functools
import socket
from typing import Any

import hypercorn.config
from hypercorn.trio import worker_context
import hypercorn.utils
import quart_trio
import structlog
import trio

from mustardlbd import _http_connection

log = structlog.get_logger()

# Pending connections of a listening socket.
LISTEN_BACKLOG = 512


def open_socket(address: str, port: int) -> socket.socket:
    """Return a listening TCP socket; the system chooses a port for 0."""
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setblocking(False)
    listener.bind((address, port))
    listener.listen(LISTEN_BACKLOG)
    return listener


def _make_config(
    settings: _http_connection.ServerSettings,
) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    # The application enforces the limit. Hypercorn's limit is higher so that
    # the application can still send its own error.
    config.h11_max_incomplete_size = 2 * settings.max_header_bytes
    config.h2_max_header_list_size = 2 * settings.max_header_bytes
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    config.keep_alive_max_requests = 1_000_000
    return config


async def serve(
    app: quart_trio.QuartTrio,
    settings: _http_connection.ServerSettings,
    *,
    stop: abc.Callable[[], abc.Awaitable[None]],
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until `stop` returns, then drain its requests.

    `task_status` gets the port. After `stop` has returned, no connection is
    accepted, idle ones are closed, and requests in flight are cancelled
    after `stop_timeout`.
    """
    config = _make_config(settings)
    context = worker_context.WorkerContext(None)
    wrapped = hypercorn.utils.wrap_app(app, 0, 'asgi')
    raw = open_socket(settings.address, settings.port)
    port = raw.getsockname()[1]
    listener: Any = trio.SocketListener(trio.socket.from_stdlib_socket(raw))
    if settings.tls is not None:
        listener = trio.SSLListener(
            listener, settings.tls, https_compatible=True
        )

    async def handle(stream: Any) -> None:
        if len(connections.child_tasks) > settings.max_connections:
            log.warning('MLB-4006', max_connections=settings.max_connections)
            await trio.aclose_forcefully(stream)
            return
        connection = _http_connection.Connection(
            wrapped, config, context, settings, stream
        )
        await connection.run()

    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                functools.partial(
                    trio.serve_listeners,
                    handle,
                    [listener],
                    handler_nursery=connections,
                )
            )
            task_status.started(port)
            await stop()
            accepting.cancel_scope.cancel()
        await context.terminated.set()
        deadline = trio.current_time() + settings.stop_timeout
        connections.cancel_scope.deadline = deadline
    if connections.cancel_scope.cancelled_caught:
        log.warning('MLB-4004', stop_timeout=settings.stop_timeout)
