"""Ports for listeners that no other connection takes meanwhile."""

import contextlib
import random
import socket

# Below the ports that the system gives to outgoing connections.
_RANGE = range(12_000, 32_000)


def find(count):
    """Return ports that nobody listens on."""
    found = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            # Not seeded: two runs beside each other take different ports.
            port = random.SystemRandom().choice(_RANGE)
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind(('127.0.0.1', port))
                found.append(port)
    return found
