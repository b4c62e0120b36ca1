"""Start and stop the processes of a local site for demos and benchmarks."""

from collections import abc
import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time

START_TIMEOUT_SECONDS = 20.0

# Time between SIGTERM and SIGKILL.
STOP_TIMEOUT_SECONDS = 20.0


class Process:
    """One process of the site and its log file."""

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
        """Process id."""
        return self._popen.pid

    def read_first_line(self) -> dict:
        """Return the first output line, JSON with the listening address."""
        assert self._popen.stdout is not None
        line = self._popen.stdout.readline()
        if not line:
            raise RuntimeError(f'{self.name} ended: {self.log.read_text()}')
        return json.loads(line)

    def terminate(self) -> None:
        """Send SIGTERM without waiting; resumes a paused process."""
        if self._popen.poll() is None:
            self.resume()
            self._popen.send_signal(signal.SIGTERM)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process if it runs."""
        if self._popen.poll() is None:
            self._popen.kill()

    def wait(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Return the exit code; kills the process after the timeout."""
        try:
            return self._popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._popen.wait()

    def close(self) -> None:
        """Stop the process and close its files."""
        self.terminate()
        self.wait()
        self._log_file.close()
        if self._popen.stdout is not None:
            self._popen.stdout.close()


class Launcher:
    """Starts and stops the processes of one site."""

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
        """Stop all processes, with SIGTERM in reverse order of their start."""
        for process in reversed(self.processes_by_name.values()):
            process.terminate()
        for process in self.processes_by_name.values():
            process.close()


@contextlib.contextmanager
def open_launcher(directory: pathlib.Path) -> abc.Iterator[Launcher]:
    """Yield a launcher and stop its processes when the block ends."""
    launcher = Launcher(directory)
    try:
        yield launcher
    finally:
        launcher.close()


def free_ports(count: int) -> list[int]:
    """Return free ports of 127.0.0.1."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for free in sockets:
            free.bind(('127.0.0.1', 0))
        return [free.getsockname()[1] for free in sockets]
    finally:
        for free in sockets:
            free.close()


def wait_until(
    condition: abc.Callable[[], bool],
    event: str,
    timeout: float = START_TIMEOUT_SECONDS,
) -> None:
    """Wait until the condition holds; raises TimeoutError with `event`."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                f'{event} did not happen within {timeout:.0f} s'
            )
        time.sleep(0.05)
