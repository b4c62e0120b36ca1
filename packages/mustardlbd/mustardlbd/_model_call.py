"""Parses and checks the request body of a model call."""

import dataclasses
from typing import Any

import msgspec

from mustardlb import contracts
from mustardlbd import _admission
from mustardlbd import _caller_settings
from mustardlbd import _key_scan

# Fields that limit the generated tokens of one choice.
_TOKEN_FIELDS = ('max_tokens', 'max_completion_tokens')

# Fields that set the number of generated choices.
_CHOICE_FIELDS = ('n', 'best_of')


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """Request for an engine and the cost to reserve for it.

    :ivar model: 'adapter@version', resolved at admission
    :ivar body: request body, which contains no API key
    :ivar cost: tokens to reserve: the estimate for the prompt plus the
        maximum that may be generated
    :ivar streamed: whether the response is an event stream
    :ivar usage_requested: whether the caller requested the usage event
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
    """Parse a body. Raises BAD_REQUEST and the errors of `resolve`."""
    fields = _decode(body)
    model = contracts.resolve(caller.contract, _model_name(fields))
    fields['model'] = model
    max_generated = _limit_generated_tokens(fields, settings)
    streamed = _parse_flag(fields, 'stream')
    usage_requested = _request_usage(fields) if streamed else False
    return ModelCall(
        model,
        _encode(fields, caller.key),
        len(body) // settings.bytes_per_token + 1 + max_generated,
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
    """Serialize the fields without the API key.

    Raises BAD_REQUEST if a key is a part of a longer text. The encoder
    escapes no character that a key may contain, so a key that is escaped in
    the caller's body is found as well.
    """
    secret = _key_scan.secret_of(key)
    body = msgspec.json.encode(fields)
    if not _key_scan.contains_key(body, secret):
        return body
    remaining = {
        name: value
        for name, value in fields.items()
        if not _is_key(value, key)
    }
    body = msgspec.json.encode(remaining)
    if _key_scan.contains_key(body, secret):
        raise _admission.bad_request('the body contains a key')
    return body


def _is_key(value: object, key: str) -> bool:
    return isinstance(value, str) and value.split()[-1:] == [key]


def _model_name(fields: dict[str, Any]) -> str:
    model = fields.get('model')
    if not isinstance(model, str) or not model:
        raise _admission.bad_request('model must be a non-empty string')
    return model


def _parse_flag(fields: dict[str, Any], name: str) -> bool:
    value = fields.get(name)
    if value is not None and not isinstance(value, bool):
        raise _admission.bad_request(f'{name} must be true or false')
    return bool(value)


def _parse_count(
    fields: dict[str, Any], name: str, max_value: int
) -> int | None:
    value = fields.get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int):
        raise _admission.bad_request(f'{name} must be an integer')
    if not 1 <= value <= max_value:
        raise _admission.bad_request(f'{name} must be from 1 to {max_value}')
    return value


def _limit_generated_tokens(
    fields: dict[str, Any], settings: _caller_settings.CallerSettings
) -> int:
    """Return the maximum of generated tokens; sets a default limit."""
    counts = [
        _parse_count(fields, name, settings.max_tokens)
        for name in _TOKEN_FIELDS
    ]
    given = [count for count in counts if count is not None]
    if not given:
        fields['max_tokens'] = settings.default_tokens
    tokens = max(given, default=settings.default_tokens)
    choices = [
        _parse_count(fields, name, settings.max_choices) or 1
        for name in _CHOICE_FIELDS
    ]
    return tokens * max(choices) * _prompt_count(fields.get('prompt'))


def _prompt_count(prompt: object) -> int:
    """Return the number of prompts; a list of token numbers is one."""
    if not isinstance(prompt, list) or not prompt:
        return 1
    if any(isinstance(part, str | list) for part in prompt):
        return len(prompt)
    return 1


def _request_usage(fields: dict[str, Any]) -> bool:
    """Request the usage event; return whether the caller requested it."""
    options = fields.get('stream_options')
    if options is None:
        options = {}
    if not isinstance(options, dict):
        raise _admission.bad_request('stream_options must be an object')
    requested = _parse_flag(options, 'include_usage')
    fields['stream_options'] = options | {'include_usage': True}
    return requested
