"""Start and end the processes of a local site; no part of the product."""

from collections import abc
import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time

# Seconds that a process may take to say that it listens.
START_LIMIT = 20.0

# Seconds that a process may take to end after SIGTERM.
STOP_LIMIT = 20.0


class Process:
    """One process of the site, its log and the first line it printed."""

    def __init__(
        self, name: str, command: list[str], directory: pathlib.Path
    ) -> None:
        self.name = name
        self.log = directory / f'{name}.log'
        self._log_file = self.log.open('wb')
        self._popen = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=self._log_file
        )

    @property
    def pid(self) -> int:
        """Its identifier."""
        return self._popen.pid

    def first_line(self) -> dict:
        """Wait for the JSON line that says where the process listens."""
        assert self._popen.stdout is not None
        line = self._popen.stdout.readline()
        if not line:
            raise RuntimeError(f'{self.name} ended: {self.log.read_text()}')
        return json.loads(line)

    def terminate(self) -> None:
        """Ask the process to stop; does not wait."""
        if self._popen.poll() is None:
            self.resume()
            self._popen.send_signal(signal.SIGTERM)

    def pause(self) -> None:
        """Stop the process where it is."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self._popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process at once."""
        if self._popen.poll() is None:
            self._popen.kill()

    def wait(self, limit: float = STOP_LIMIT) -> int:
        """Wait for the end and return the exit code; kill past the limit."""
        try:
            return self._popen.wait(limit)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._popen.wait()

    def close(self) -> None:
        """End the process and release its files."""
        self.terminate()
        self.wait()
        self._log_file.close()
        if self._popen.stdout is not None:
            self._popen.stdout.close()


class Launcher:
    """The processes of one site, by name."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.processes_by_name: dict[str, Process] = {}

    def start(self, name: str, module: str, *arguments: str) -> Process:
        """Start `python -m module arguments`."""
        command = [sys.executable, '-m', module, *arguments]
        process = Process(name, command, self.directory)
        self.processes_by_name[name] = process
        return process

    def close(self) -> None:
        """End all processes, those started last first."""
        for process in reversed(self.processes_by_name.values()):
            process.terminate()
        for process in self.processes_by_name.values():
            process.close()


@contextlib.contextmanager
def site(directory: pathlib.Path) -> abc.Iterator[Launcher]:
    """Run a launcher whose processes all end with the block."""
    launcher = Launcher(directory)
    try:
        yield launcher
    finally:
        launcher.close()


def free_ports(count: int) -> list[int]:
    """Ports of 127.0.0.1 that nothing listens on now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for free in sockets:
            free.bind(('127.0.0.1', 0))
        return [free.getsockname()[1] for free in sockets]
    finally:
        for free in sockets:
            free.close()


def wait_until(
    condition: abc.Callable[[], bool], what: str, limit: float = START_LIMIT
) -> None:
    """Wait until the condition holds. Raises TimeoutError naming `what`."""
    deadline = time.monotonic() + limit
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f'{what} did not happen in {limit:.0f} s')
        time.sleep(0.05)
