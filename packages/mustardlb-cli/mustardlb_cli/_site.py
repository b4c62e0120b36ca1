"""The site that a command works on: platform and admin ports."""

from collections import abc
import contextlib
import dataclasses
import os
import pathlib
import ssl

import httpx

from mustardlb import documents
from mustardlb import http_object_api
from mustardlb import http_vm_list
from mustardlb import object_api
from mustardlb import settings
from mustardlb import vm_list
from mustardlb_cli import _exit

# Where the settings are looked for when no flag names them.
SETTINGS_VARIABLE = 'MUSTARDLB_SETTINGS'
SETTINGS_FILE = 'mustardlb.toml'

# Time for one answer of an admin port, beyond the wait asked for, seconds.
ADMIN_TIMEOUT = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """What the commands speak to.

    :ivar admin: client of the nodes' admin ports
    :ivar admin_scheme: 'https', or 'http' by `insecure = true`
    :ivar wait: how long a change is waited for, seconds
    """

    api: object_api.ObjectApi
    vms: vm_list.VmList
    admin: httpx.AsyncClient
    admin_scheme: str
    wait: float


# Opens the site of a command.
Open = abc.Callable[[], contextlib.AbstractAsyncContextManager[Site]]


def opener(settings_path: str) -> Open:
    """Return what opens the site; the settings are read on opening."""

    @contextlib.asynccontextmanager
    async def open_site() -> abc.AsyncIterator[Site]:
        found = settings.load_command(find_settings(settings_path))
        api = http_object_api.HttpObjectApi(
            found.object_api.url,
            found.object_api.timeout,
            found.object_api.authority,
        )
        vms = http_vm_list.HttpVmList(
            found.vm_list.url, found.vm_list.timeout, found.vm_list.authority
        )
        admin = httpx.AsyncClient(
            verify=_tls_context(found.admin_tls),
            trust_env=False,
            timeout=ADMIN_TIMEOUT,
        )
        scheme = 'https' if found.admin_tls else 'http'
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(api.close)
            stack.push_async_callback(vms.close)
            await stack.enter_async_context(admin)
            yield Site(api, vms, admin, scheme, found.wait)

    return open_site


def find_settings(path: str) -> pathlib.Path:
    """Return the settings file of the flag, the variable, or here."""
    named = path or os.environ.get(SETTINGS_VARIABLE) or SETTINGS_FILE
    found = pathlib.Path(named)
    if not found.exists():
        raise _exit.CommandError(
            _exit.ExitCode.INVALID,
            f'{found}: there is no such settings file; name one by '
            f'--settings or {SETTINGS_VARIABLE}',
        )
    return found


def read_file(path: str) -> str:
    """Read a file named on the command line. Raises InvalidDocument."""
    return documents.read_file(pathlib.Path(path))


def _tls_context(tls: settings.Tls | None) -> ssl.SSLContext | bool:
    if tls is None:
        return False  # plain text, so there is nothing to check
    context = ssl.create_default_context(cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    return context
