"""The composition root: makes every part of a node and wires them."""

import dataclasses
import functools
import json
import pathlib
import secrets
import signal
import sys
import time
from typing import Any

import trio

from mustardlb import clock
from mustardlb import decoded_configuration
from mustardlb import documents
from mustardlb import errors
from mustardlb import settings as settings_module
from mustardlbd import _admin
from mustardlbd import _app_settings
from mustardlbd import _bookings
from mustardlbd import _callers
from mustardlbd import _dependencies
from mustardlbd import _http_server
from mustardlbd import _limit_wiring
from mustardlbd import _logging
from mustardlbd import _peer_server
from mustardlbd import _peers
from mustardlbd import _shared_state
from mustardlbd import _target_wiring
from mustardlbd import _tls

# Bits of the number that tells two processes of one VM apart.
INCARNATION_BITS = 62

# How long a stopping node tries to record outcomes not yet recorded, seconds.
FLUSH_LIMIT = 5.0


class _Directory:
    """The decoded configuration, made anew when the snapshot changed."""

    def __init__(self, state: _shared_state.SharedState) -> None:
        self._state = state
        self._snapshot = state.snapshot()
        self._directory = decoded_configuration.build(self._snapshot)

    def current(self) -> decoded_configuration.Configuration:
        """Return the directory of the configuration in force."""
        snapshot = self._state.snapshot()
        if snapshot is not self._snapshot:
            self._directory = decoded_configuration.build(
                snapshot, self._directory
            )
            self._snapshot = snapshot
        return self._directory


async def _stop_on_signal(stop: trio.Event) -> None:
    """Begin a graceful shutdown at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
            return


def _show_status(state: _shared_state.SharedState) -> dict[str, Any]:
    status = dataclasses.asdict(state.status())
    return status | {'ready': _is_ready(state)}


def _is_ready(state: _shared_state.SharedState) -> bool:
    try:
        state.check_ready()
    except errors.Error:
        return False
    return True


def _make_listener(listener: settings_module.Listener) -> trio.SocketListener:
    raw = _http_server.open_socket(listener.address, listener.port)
    return trio.SocketListener(trio.socket.from_stdlib_socket(raw))


async def run(settings: settings_module.NodeSettings) -> None:
    """Run a node until SIGTERM and the end of its graceful shutdown.

    Prints one JSON line with its ports when it listens.
    """
    api = _app_settings.make_object_api(settings.object_api)
    vms = _app_settings.make_vm_list(settings.vm_list)
    peer_server = _peer_server.PeerServer(
        settings.vm_id, _tls.server_context(settings.peers.tls)
    )
    incarnation = secrets.randbits(INCARNATION_BITS)
    state = _shared_state.SharedState(
        _peers.Identity(settings.vm_id, incarnation),
        _shared_state.Platform(
            api=api,
            vms=vms,
            open_stream=_peers.open_tcp(_tls.peer_context(settings.peers.tls)),
            now=clock.boottime,
        ),
        peer_server,
        decoded_configuration.validate,
    )
    directory = _Directory(state)
    targets = _target_wiring.build(
        settings, state, directory.current, incarnation
    )
    targets.register(peer_server.register)
    limits = _limit_wiring.build(
        settings.vm_id, incarnation, state, directory.current, peer_server
    )
    bookings = _bookings.Bookings(api, time.time)
    stop = trio.Event()
    end = trio.Event()
    metrics = _app_settings.make_metrics(settings.statsd)
    dependencies = _dependencies.Dependencies(
        directory=directory.current,
        check_fresh=state.check_fresh,
        check_ready=state.check_ready,
        status=functools.partial(_show_status, state),
        wait_revision=functools.partial(_wait_revision, state),
        reserve=limits.holder.reserve,
        place=targets.place,
        begin=bookings.begin,
    )
    serve_callers = functools.partial(
        _callers.serve,
        dependencies,
        _app_settings.make_caller_settings(settings),
        metrics,
        stop=stop,
    )
    serve_admin = functools.partial(
        _admin.serve_admin,
        dependencies,
        _app_settings.make_admin_settings(settings),
        metrics,
        stop=stop,
        end=end,
    )
    peer_listener = _make_listener(settings.peers)
    async with trio.open_nursery() as background:
        background.start_soon(_stop_on_signal, stop)
        background.start_soon(peer_server.serve, peer_listener)
        background.start_soon(state.run)
        background.start_soon(targets.run)
        background.start_soon(limits.run)
        background.start_soon(bookings.run)
        async with trio.open_nursery() as beside:
            admin_port = await beside.start(serve_admin)
            async with trio.open_nursery() as serving:
                callers_port = await serving.start(serve_callers)
                _print_ports(settings, callers_port, admin_port)
            end.set()
        with trio.move_on_after(FLUSH_LIMIT):
            await bookings.flush()
        background.cancel_scope.cancel()
    await api.close()
    await vms.close()


async def _wait_revision(
    state: _shared_state.SharedState, revision: int, timeout: float
) -> None:
    await state.wait_revision(revision, timeout)


def _print_ports(
    settings: settings_module.NodeSettings, callers: int, admin: int
) -> None:
    """Tell whoever started the process that it listens."""
    line = {'vm_id': settings.vm_id, 'callers': callers, 'admin': admin}
    print(json.dumps(line), flush=True)  # noqa: T201


def main() -> None:
    """Run `mustardlbd SETTINGS`; exit code 2 for faulty settings."""
    if len(sys.argv) != 2:
        sys.exit('usage: mustardlbd SETTINGS.toml')
    try:
        settings = settings_module.load_node(pathlib.Path(sys.argv[1]))
    except documents.InvalidDocument as error:
        print(error, file=sys.stderr)  # noqa: T201
        sys.exit(2)
    _logging.configure(settings.vm_id)
    trio.run(run, settings)
