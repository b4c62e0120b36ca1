"""The deployment that a command works on, with its clients."""

from collections import abc
import contextlib
import dataclasses
import os
import pathlib
import ssl

import httpx

from mustardlb import documents
from mustardlb import http_object_api
from mustardlb import http_transport
from mustardlb import http_vm_list
from mustardlb import object_api
from mustardlb import settings
from mustardlb import vm_list
from mustardlb_cli import _exit

# Default locations of the settings file.
SETTINGS_VARIABLE = 'MUSTARDLB_SETTINGS'
SETTINGS_FILE = 'mustardlb.toml'

# Response timeout of an admin port, in addition to the requested wait.
ADMIN_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Clients of the platform services and of the nodes.

    :ivar admin: client of the nodes' admin ports
    :ivar admin_scheme: 'https', or 'http' with `insecure = true`
    :ivar wait: seconds that a command waits for a change to be active
    """

    api: object_api.ObjectApi
    vms: vm_list.VmList
    admin: httpx.AsyncClient
    admin_scheme: str
    wait: float


# Returns a context manager that connects to the site.
Open = abc.Callable[[], contextlib.AbstractAsyncContextManager[Site]]


def opener(settings_path: str) -> Open:
    """Return a function that opens the site.

    The settings are read when the site is opened.
    """

    @contextlib.asynccontextmanager
    async def open_site() -> abc.AsyncIterator[Site]:
        loaded = settings.load_command(find_settings(settings_path))
        api = http_object_api.HttpObjectApi(
            loaded.object_api.url,
            loaded.object_api.timeout,
            loaded.object_api.authority,
        )
        vms = http_vm_list.HttpVmList(
            loaded.vm_list.url,
            loaded.vm_list.timeout,
            loaded.vm_list.authority,
        )
        admin = httpx.AsyncClient(
            transport=http_transport.make_transport(
                _tls_context(loaded.admin_tls)
            ),
            trust_env=False,
            timeout=ADMIN_TIMEOUT_SECONDS,
        )
        scheme = 'https' if loaded.admin_tls else 'http'
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(api.close)
            stack.push_async_callback(vms.close)
            await stack.enter_async_context(admin)
            yield Site(api, vms, admin, scheme, loaded.wait)

    return open_site


def find_settings(path: str) -> pathlib.Path:
    """Return the path of the settings file.

    The flag takes precedence over the environment variable, and that over
    the current directory. Raises CommandError if there is no such file.
    """
    named = path or os.environ.get(SETTINGS_VARIABLE) or SETTINGS_FILE
    found = pathlib.Path(named)
    if not found.exists():
        raise _exit.CommandError(
            _exit.ExitCode.INVALID,
            f'{found}: settings file not found; set --settings or '
            f'{SETTINGS_VARIABLE}',
        )
    return found


def read_file(path: str) -> str:
    """Read a file named on the command line. Raises InvalidDocument."""
    return documents.read_file(pathlib.Path(path))


def _tls_context(tls: settings.Tls | None) -> ssl.SSLContext | bool:
    if tls is None:
        return False  # plain HTTP has no certificate to verify
    context = ssl.create_default_context(cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    return context
