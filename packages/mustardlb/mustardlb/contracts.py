"""Contracts: what one client account may call, and how much."""

from collections import abc
import functools
import re
import typing

import msgspec

from mustardlb import documents
from mustardlb import errors
from mustardlb import steps

# Configuration objects 'contract/<account>'.
KIND = 'contract'

WILDCARD = '*'

# Highest rate and burst, so that every product of them stays exact.
MAX_TOKENS = 10**12

_PART = r'[A-Za-z0-9][A-Za-z0-9._/:-]*'
_VERSION = r'[A-Za-z0-9][A-Za-z0-9._-]*'
_PATTERN_PART = r'[A-Za-z0-9._/:*-]+'

Tokens = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]
Model = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=rf'^{_PART}\Z',
        description='a model name: letters, digits, and . _ / : -',
    ),
]
BaseModel = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=rf'^{_PART}(@{_VERSION})?\Z',
        description="a model name, or 'name@version'",
    ),
]
Version = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=rf'^{_VERSION}\Z',
        description='a version: letters, digits, and . _ -',
    ),
]
Grant = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=rf'^{_PATTERN_PART}@{_PATTERN_PART}\Z',
        description="'adapter@version', where * stands for any text",
    ),
]


class Contract(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    dict=True,
):
    """What one client account may call, and how much.

    :ivar account: name of the client account
    :ivar rate: tokens a second, over all VMs together
    :ivar burst: tokens that may be spent at once after a pause
    :ivar concurrency: requests in flight at one time
    :ivar priority: 0 (last) to 9 (first), passed on to the engines
    :ivar traffic_class: name under which requests are measured
    :ivar grants: patterns 'adapter@version', where * stands for any text
    :ivar current: version that a bare adapter name means, by adapter
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
        """The grants without a wildcard."""
        return frozenset(g for g in self.grants if WILDCARD not in g)

    @functools.cached_property
    def pattern_grants(self) -> tuple['PatternGrant', ...]:
        """The grants with a wildcard, compiled."""
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
    """A grant with a wildcard, compiled once for each contract."""

    def __init__(self, grant: str) -> None:
        adapter, _, version = grant.partition('@')
        self.adapter = _compile(adapter)
        self.version = _compile(version)
        self.only_version = '' if WILDCARD in version else version


def resolve(contract: Contract, model: str) -> str:
    """Return what a request for `model` runs on, and check the grant.

    That is 'adapter@version', or a base model as it was named. Raises
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
        return f'{adapter}@{_version_of_bare_name(contract, adapter)}'
    if not _is_granted(contract, adapter, version):
        raise _not_granted(contract, model)
    return model


def parse_toml(text: str, file: str) -> Contract:
    """Read a contract file. Raises InvalidDocument with every fault."""
    return documents.parse_toml(text, Contract, file, _check)


def encode(contract: Contract) -> bytes:
    """Serialize a contract for the object 'contract/<account>'."""
    return msgspec.json.encode(contract, order='sorted')


def decode(value: bytes, name: str = KIND) -> Contract:
    """Read the object 'contract/<account>'. Raises InvalidDocument."""
    return documents.parse_json(value, Contract, name, _check)


def object_name(account: str) -> str:
    """Return the name of the configuration object of an account."""
    return f'{KIND}/{account}'


def _version_of_bare_name(contract: Contract, adapter: str) -> str:
    if not _is_model(adapter):
        raise _not_granted(contract, adapter)
    if adapter in contract.current:
        return contract.current[adapter]
    versions = set(contract.exact_versions_by_adapter.get(adapter, ()))
    several = False
    for grant in contract.pattern_grants:
        if not grant.adapter(adapter):
            continue
        if grant.only_version:
            versions.add(grant.only_version)
        else:
            several = True
    if not versions and not several:
        raise _not_granted(contract, adapter)
    if several or len(versions) > 1:
        raise errors.Error(
            errors.Code.VERSION_REQUIRED,
            f'{adapter[:100]!r} names no version, and the contract of '
            f'{contract.account} grants several and has no current one',
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
    """Check what takes several keys together."""
    if not contract.grants and not contract.models:
        yield 'grants', contract.grants, 'neither grants nor models are given'
    for adapter, version in contract.current.items():
        if not _is_granted(contract, adapter, version):
            yield f'current.{adapter}', version, 'is not among the grants'


_is_model = re.compile(_PART).fullmatch
_is_version = re.compile(_VERSION).fullmatch


def _compile(pattern: str) -> abc.Callable[[str], bool]:
    """Return a match function that takes linear time.

    A regular expression would backtrack, over names that callers choose.
    """
    first, *middle = pattern.split(WILDCARD)
    if not middle:
        return pattern.__eq__
    last = middle.pop()

    def matches(text: str) -> bool:
        end = len(text) - len(last)
        if not text.startswith(first) or not text.endswith(last):
            return False
        place = len(first)
        for piece in middle:
            place = text.find(piece, place, end)
            if place < 0:
                return False
            place += len(piece)
        return place <= end

    return matches
