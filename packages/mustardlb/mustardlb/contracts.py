"""Contracts: the models and rates granted to a client account."""

from collections import abc
import functools
import re
import typing

import msgspec

from mustardlb import documents
from mustardlb import errors
from mustardlb import steps

# Contracts are configuration objects 'contract/<account>'.
KIND = 'contract'

WILDCARD = '*'

# Bounds rate and burst so that products of them stay exact.
MAX_TOKENS = 10**12

_MODEL_REGEX = r'[A-Za-z0-9][A-Za-z0-9._/:-]*'
_VERSION_REGEX = r'[A-Za-z0-9][A-Za-z0-9._-]*'
_GRANT_PART_REGEX = r'[A-Za-z0-9._/:*-]+'

Tokens = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]
Model = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=rf'^{_MODEL_REGEX}\Z',
        description='a model name: letters, digits, and . _ / : -',
    ),
]
BaseModel = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=rf'^{_MODEL_REGEX}(@{_VERSION_REGEX})?\Z',
        description="a model name, or 'name@version'",
    ),
]
Version = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=rf'^{_VERSION_REGEX}\Z',
        description='a version: letters, digits, and . _ -',
    ),
]
Grant = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=rf'^{_GRANT_PART_REGEX}@{_GRANT_PART_REGEX}\Z',
        description="'adapter@version', where * matches any text",
    ),
]


class Contract(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    dict=True,
):
    """The models and rates granted to one client account.

    :ivar account: name of the client account
    :ivar rate: tokens per second, summed over all VMs
    :ivar burst: capacity of the token bucket, tokens
    :ivar concurrency: maximum number of requests in flight
    :ivar priority: 0 (lowest) to 9 (highest), forwarded to the engines
    :ivar traffic_class: label of the account's requests in metrics
    :ivar grants: patterns 'adapter@version', where * matches any text
    :ivar current: by adapter, the version used if a request names none
    :ivar models: base models that may be called without an adapter
    """

    account: documents.Name
    rate: Tokens
    burst: Tokens
    concurrency: typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 64
    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    traffic_class: documents.Name = 'standard'
    grants: tuple[Grant, ...] = ()
    current: dict[Model, Version] = {}
    models: tuple[BaseModel, ...] = ()

    @functools.cached_property
    def exact_grants(self) -> frozenset[str]:
        """Grants without a wildcard."""
        return frozenset(g for g in self.grants if WILDCARD not in g)

    @functools.cached_property
    def pattern_grants(self) -> tuple['PatternGrant', ...]:
        """Compiled grants with a wildcard."""
        return tuple(PatternGrant(g) for g in self.grants if WILDCARD in g)

    @functools.cached_property
    def exact_versions_by_adapter(self) -> dict[str, frozenset[str]]:
        """Versions of the grants without a wildcard, by adapter."""
        versions: dict[str, set[str]] = {}
        for grant in self.exact_grants:
            adapter, _, version = grant.partition('@')
            versions.setdefault(adapter, set()).add(version)
        return {name: frozenset(found) for name, found in versions.items()}


class PatternGrant:
    """A compiled grant with a wildcard.

    :ivar adapter: matches adapter names
    :ivar version: matches versions
    :ivar only_version: the version if it has no wildcard, otherwise ''
    """

    def __init__(self, grant: str) -> None:
        adapter, _, version = grant.partition('@')
        self.adapter = _compile(adapter)
        self.version = _compile(version)
        self.only_version = '' if WILDCARD in version else version


def resolve(contract: Contract, model: str) -> str:
    """Return the granted model that a request for `model` runs on.

    Returns 'adapter@version', or the name of a base model unchanged. Raises
    Error with NOT_GRANTED or VERSION_REQUIRED.

    >>> contract = Contract(account='a', rate=1, burst=1,
    ...     grants=('draft@3', 'quote@*'), current={'quote': '7'})
    >>> resolve(contract, 'draft'), resolve(contract, 'quote')
    ('draft@3', 'quote@7')
    >>> resolve(contract, 'quote@8')
    'quote@8'
    """
    if model in contract.models:
        return model
    adapter, separator, version = model.partition('@')
    if not separator:
        return f'{adapter}@{_default_version(contract, adapter)}'
    if not _is_granted(contract, adapter, version):
        raise _not_granted(contract, model)
    return model


def parse_toml(text: str, file: str) -> Contract:
    """Parse a contract file. Raises InvalidDocument with all violations."""
    return documents.parse_toml(text, Contract, file, _check)


def encode(contract: Contract) -> bytes:
    """Serialize a contract for the object 'contract/<account>'."""
    return msgspec.json.encode(contract, order='sorted')


def decode(value: bytes, name: str = KIND) -> Contract:
    """Deserialize 'contract/<account>'. Raises InvalidDocument."""
    return documents.parse_json(value, Contract, name, _check)


def object_name(account: str) -> str:
    """Return the name of the configuration object of an account."""
    return f'{KIND}/{account}'


def _default_version(contract: Contract, adapter: str) -> str:
    if not _is_model(adapter):
        raise _not_granted(contract, adapter)
    if adapter in contract.current:
        return contract.current[adapter]
    versions = set(contract.exact_versions_by_adapter.get(adapter, ()))
    matches_any_version = False
    for grant in contract.pattern_grants:
        if not grant.adapter(adapter):
            continue
        if grant.only_version:
            versions.add(grant.only_version)
        else:
            matches_any_version = True
    if not versions and not matches_any_version:
        raise _not_granted(contract, adapter)
    if matches_any_version or len(versions) > 1:
        raise errors.Error(
            errors.Code.VERSION_REQUIRED,
            f'{adapter[:100]!r} has no version, and the contract of '
            f'{contract.account} grants several and sets no current one',
            steps.Step.ADMISSION,
            not_run=True,
        )
    return versions.pop()


def _is_granted(contract: Contract, adapter: str, version: str) -> bool:
    if not _is_model(adapter) or not _is_version(version):
        return False
    if f'{adapter}@{version}' in contract.exact_grants:
        return True
    return any(
        grant.adapter(adapter) and grant.version(version)
        for grant in contract.pattern_grants
    )


def _not_granted(contract: Contract, model: str) -> errors.Error:
    return errors.Error(
        errors.Code.NOT_GRANTED,
        f'the contract of {contract.account} does not grant {model[:100]!r}',
        steps.Step.ADMISSION,
        not_run=True,
    )


def _check(contract: Contract) -> abc.Iterator[documents.Finding]:
    """Yield the violations that concern several keys."""
    if not contract.grants and not contract.models:
        yield 'grants', contract.grants, 'grants or models are required'
    for adapter, version in contract.current.items():
        if not _is_granted(contract, adapter, version):
            yield f'current.{adapter}', version, 'is not granted'


_is_model = re.compile(_MODEL_REGEX).fullmatch
_is_version = re.compile(_VERSION_REGEX).fullmatch


def _compile(pattern: str) -> abc.Callable[[str], bool]:
    """Return a function that matches texts in linear time.

    Callers choose the names to match; a regular expression could take
    exponential time on them because of backtracking.
    """
    first, *middle = pattern.split(WILDCARD)
    if not middle:
        return pattern.__eq__
    last = middle.pop()

    def matches(text: str) -> bool:
        end = len(text) - len(last)
        if not text.startswith(first) or not text.endswith(last):
            return False
        position = len(first)
        for piece in middle:
            position = text.find(piece, position, end)
            if position < 0:
                return False
            position += len(piece)
        return position <= end

    return matches
