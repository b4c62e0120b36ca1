"""Commands for API keys."""

import datetime

import msgspec

from mustardlb import changes
from mustardlb import contracts
from mustardlb import errors
from mustardlb import keys
from mustardlb import stored_configuration
from mustardlb_cli import _command
from mustardlb_cli import _commits
from mustardlb_cli import _exit
from mustardlb_cli import _objects
from mustardlb_cli import _output
from mustardlb_cli import _site


class KeyCommands:
    """API keys of client accounts; only their hashes are stored."""

    def __init__(self, open_site: _site.Open) -> None:
        self._open = open_site

    def issue(self, account: str, wait: str | None = None) -> _command.Command:
        """Create a key for an account and show it this one time.

        Example: mustardlb key issue acme

        Args:
          account: the client account, which must have a contract
          wait: seconds to wait until it is active, 0 not to wait
        """
        seconds = _command.parse_seconds('wait', wait)
        return _command.Command(lambda: _issue(self._open, account, seconds))

    def withdraw(
        self, key_id: str, account: str = '', wait: str | None = None
    ) -> _command.Command:
        """Withdraw a key and wait until the change is active.

        Example: mustardlb key withdraw 0f3a5b7c9d1e2f40

        Args:
          key_id: id of the key, as shown by `key list`
          account: its client account; all accounts are searched without it
          wait: seconds to wait until it is active, 0 not to wait
        """
        seconds = _command.parse_seconds('wait', wait)
        return _command.Command(
            lambda: _withdraw(self._open, _key_id(key_id), account, seconds)
        )

    def list(self, account: str = '') -> _command.Command:
        """List the ids of keys; the keys themselves are not stored.

        Example: mustardlb key list --account=acme

        Args:
          account: only the keys of this client account
        """
        return _command.Command(lambda: _list(self._open, account))


async def _issue(
    open_site: _site.Open, account: str, wait: float | None
) -> _output.Result:
    key = keys.issue(account, _now())

    def make(stored: bytes | None) -> bytes:
        records = keys.decode(stored) if stored else ()
        return keys.encode([*records, key.record])

    edit = changes.Edit(keys.object_name(account), make, None)
    async with open_site() as site:
        await _check_contract(site, account)
        shown = {
            'key': key.text,
            'key_id': key.record.key_id,
            'account': account,
        }
        try:
            result = await _commits.commit(site, [edit], wait)
        except _exit.CommandError as error:
            # The key is stored and cannot be shown again later.
            raise _exit.CommandError(
                error.code, str(error), {**shown, **(error.result or {})}
            ) from error
        except errors.Error as error:
            if error.code is not errors.Code.WRITE_UNKNOWN:
                raise
            # The key may be stored, and it cannot be shown again later.
            raise _exit.CommandError(
                _exit.ExitCode.UNKNOWN, str(error), shown
            ) from error
        return {**shown, **result}


async def _check_contract(site: _site.Site, account: str) -> None:
    async def read() -> stored_configuration.VersionedHead:
        return await stored_configuration.read_head(site.api)

    base = await _commits.read_with_timeout(site, read)
    name = contracts.object_name(account)
    if name not in base.head.entries:
        raise _objects.not_found(name)


async def _withdraw(
    open_site: _site.Open, key_id: str, account: str, wait: float | None
) -> _output.Result:
    async with open_site() as site:
        owner = account or await _find_account(site, key_id)

        def make(stored: bytes | None) -> bytes:
            records = keys.decode(stored) if stored else ()
            if all(record.key_id != key_id for record in records):
                raise _objects.not_found(f'key {key_id}')
            return keys.encode(
                [_withdraw_record(record, key_id) for record in records]
            )

        edit = changes.Edit(keys.object_name(owner), make, None)
        result = await _commits.commit(site, [edit], wait)
    return {'key_id': key_id, 'account': owner, **result}


def _withdraw_record(record: keys.KeyRecord, key_id: str) -> keys.KeyRecord:
    if record.key_id != key_id or record.withdrawn_at is not None:
        return record
    return msgspec.structs.replace(record, withdrawn_at=_now())


async def _find_account(site: _site.Site, key_id: str) -> str:
    _, found = await _objects.read_all(site, f'{keys.KIND}/')
    for stored in found.values():
        for record in keys.decode(stored.value, stored.name):
            if record.key_id == key_id:
                return record.account
    raise _objects.not_found(f'key {key_id}')


async def _list(open_site: _site.Open, account: str) -> _output.Result:
    prefix = keys.object_name(account)
    async with open_site() as site:
        revision, found = await _objects.read_all(site, prefix)
    rows = [
        {
            'key_id': record.key_id,
            'account': record.account,
            'issued_at': record.issued_at,
            'withdrawn_at': record.withdrawn_at,
        }
        for stored in found.values()
        for record in keys.decode(stored.value, stored.name)
        if account in ('', record.account)
    ]
    return {'revision': revision, 'keys': rows}


def _key_id(text: str) -> str:
    """Return the id of a key, given its id or the whole key.

    An operator who has a leaked key can withdraw it without finding its id.
    """
    try:
        return keys.key_id_of(text)
    except errors.Error:
        return text


def _now() -> datetime.datetime:
    return datetime.datetime.now(datetime.UTC).replace(microsecond=0)
