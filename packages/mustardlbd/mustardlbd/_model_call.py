"""A call to a model, read from a request body."""

import dataclasses
from typing import Any

import msgspec

from mustardlb import contracts
from mustardlbd import _admission
from mustardlbd import _caller_settings
from mustardlbd import _key_scan

# Fields that say how much may be generated for one choice.
_TOKEN_FIELDS = ('max_tokens', 'max_completion_tokens')

# Fields that say how many choices are generated.
_CHOICE_FIELDS = ('n', 'best_of')


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """What is sent to an engine, and what it may cost.

    :ivar model: what the call runs on, fixed at admission
    :ivar body: the request body, free of keys
    :ivar cost: tokens that are reserved: prompt estimate plus the most
        that may be generated
    :ivar streamed: whether the answer is a stream of events
    :ivar usage_wanted: whether the caller asked for the usage event
    """

    model: str
    body: bytes
    cost: int
    streamed: bool
    usage_requested: bool


def parse(
    body: bytes,
    caller: _admission.Caller,
    settings: _caller_settings.CallerSettings,
) -> ModelCall:
    """Read and check a body. Raises BAD_REQUEST and what `resolve` does."""
    fields = _decode(body)
    model = contracts.resolve(caller.contract, _model_name(fields))
    fields['model'] = model
    generated = _most_generated(fields, settings)
    streamed = _flag(fields, 'stream')
    usage_requested = _ask_for_usage(fields) if streamed else False
    return ModelCall(
        model,
        _encode(fields, caller.key),
        len(body) // settings.bytes_per_token + 1 + generated,
        streamed,
        usage_requested,
    )


def _decode(body: bytes) -> dict[str, Any]:
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise _admission.bad_request('the body is not valid JSON') from None
    if not isinstance(fields, dict):
        raise _admission.bad_request('the body is not a JSON object')
    return fields


def _encode(fields: dict[str, Any], key: str) -> bytes:
    """Serialize the fields without the key; refuse where it is in a text.

    The encoder escapes no character that a key can have, so that escapes
    in the caller's body hide nothing.
    """
    secret = _key_scan.secret_of(key)
    body = msgspec.json.encode(fields)
    if not _key_scan.contains_key(body, secret):
        return body
    kept = {
        name: value
        for name, value in fields.items()
        if not _is_key(value, key)
    }
    body = msgspec.json.encode(kept)
    if _key_scan.contains_key(body, secret):
        raise _admission.bad_request('the body contains a key')
    return body


def _is_key(value: object, key: str) -> bool:
    return isinstance(value, str) and value.split()[-1:] == [key]


def _model_name(fields: dict[str, Any]) -> str:
    model = fields.get('model')
    if not isinstance(model, str) or not model:
        raise _admission.bad_request('model must be a text that is not empty')
    return model


def _flag(fields: dict[str, Any], name: str) -> bool:
    value = fields.get(name)
    if value is not None and not isinstance(value, bool):
        raise _admission.bad_request(f'{name} must be true or false')
    return bool(value)


def _count(fields: dict[str, Any], name: str, most: int) -> int | None:
    value = fields.get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int):
        raise _admission.bad_request(f'{name} must be a whole number')
    if not 1 <= value <= most:
        raise _admission.bad_request(f'{name} must be from 1 to {most}')
    return value


def _most_generated(
    fields: dict[str, Any], settings: _caller_settings.CallerSettings
) -> int:
    """Return the most tokens that may be generated, and see to the cap."""
    counts = [
        _count(fields, name, settings.max_tokens) for name in _TOKEN_FIELDS
    ]
    given = [count for count in counts if count is not None]
    if not given:
        fields['max_tokens'] = settings.default_tokens
    tokens = max(given, default=settings.default_tokens)
    choices = [
        _count(fields, name, settings.max_choices) or 1
        for name in _CHOICE_FIELDS
    ]
    return tokens * max(choices) * _prompts(fields.get('prompt'))


def _prompts(prompt: object) -> int:
    """Return how many prompts there are; a list of numbers is one."""
    if not isinstance(prompt, list) or not prompt:
        return 1
    if any(isinstance(part, str | list) for part in prompt):
        return len(prompt)
    return 1


def _ask_for_usage(fields: dict[str, Any]) -> bool:
    """Ask the engine for the usage event; return whether the caller did."""
    options = fields.get('stream_options')
    if options is None:
        options = {}
    if not isinstance(options, dict):
        raise _admission.bad_request('stream_options must be an object')
    wanted = _flag(options, 'include_usage')
    fields['stream_options'] = options | {'include_usage': True}
    return wanted
