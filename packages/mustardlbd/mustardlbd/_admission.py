"""Authentication of callers and validity of their keys and contracts."""

from collections import abc
import dataclasses

from mustardlb import contracts
from mustardlb import decoded_configuration
from mustardlb import errors
from mustardlb import keys
from mustardlb import steps

# Headers that carry a caller's key; they are never forwarded to a target.
KEY_HEADERS = (b'authorization', b'x-api-key', b'api-key')

_BEARER = 'bearer '

Headers = abc.Iterable[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """A client account that presented a valid key.

    :ivar record: the stored record of the key
    :ivar contract: the account's contract when the call was admitted
    :ivar key: the secret key itself, never logged
    """

    record: keys.KeyRecord
    contract: contracts.Contract
    key: str = dataclasses.field(repr=False)


def bad_request(message: str) -> errors.Error:
    """Return the error for an invalid request."""
    return errors.Error(
        errors.Code.BAD_REQUEST,
        message,
        steps.Step.ADMISSION,
        not_run=True,
    )


def presented_key(headers: Headers) -> str:
    """Return the key in a request's headers, '' if there is none."""
    for name, value in headers:
        if name not in KEY_HEADERS:
            continue
        text = value.decode('latin-1').strip()
        if text[: len(_BEARER)].lower() == _BEARER:
            text = text[len(_BEARER) :].strip()
        if text:
            return text
    return ''


def admit(
    configuration: decoded_configuration.Configuration, headers: Headers
) -> Caller:
    """Return the caller of a request.

    Raises UNAUTHENTICATED, KEY_WITHDRAWN, or NOT_GRANTED if the account has
    no contract.
    """
    key = presented_key(headers)
    record = keys.authenticate(key, configuration.keys_by_id)
    return Caller(record, _contract_of(configuration, record), key)


def revalidate(
    configuration: decoded_configuration.Configuration,
    caller: Caller,
    model: str = '',
) -> None:
    """Check that a key is still valid and a model still granted.

    Raises KEY_WITHDRAWN, or the error of contracts.resolve.
    """
    record = configuration.keys_by_id.get(caller.record.key_id)
    if record is None or record.digest != caller.record.digest:
        raise _key_withdrawn(caller)
    if record.withdrawn_at is not None:
        raise _key_withdrawn(caller)
    contract = _contract_of(configuration, record)
    if model:
        contracts.resolve(contract, model)


def _contract_of(
    configuration: decoded_configuration.Configuration, record: keys.KeyRecord
) -> contracts.Contract:
    contract = configuration.contracts_by_account.get(record.account)
    if contract is None:
        raise errors.Error(
            errors.Code.NOT_GRANTED,
            f'the client account {record.account} has no contract',
            steps.Step.ADMISSION,
            not_run=True,
        )
    return contract


def _key_withdrawn(caller: Caller) -> errors.Error:
    return errors.Error(
        errors.Code.KEY_WITHDRAWN,
        f'the key {caller.record.key_id} was withdrawn',
        steps.Step.ADMISSION,
        not_run=True,
    )
