"""Settings of the callers' side, in the form that its parts use."""

import dataclasses

from mustardlbd import _http_connection


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSettings:
    """Limits of requests, in bytes, seconds and tokens.

    :ivar server: the callers' port
    :ivar max_body: bytes of a request body that is read whole
    :ivar max_answer: bytes of an answer that is read whole
    :ivar body_timeout: between two pieces of a request body
    :ivar connect_timeout: for connecting to a target
    :ivar response_timeout: until a target's answer begins
    :ivar event_timeout: between two pieces of a target's answer
    :ivar queue_timeout: wait for concurrency and a target
    :ivar token_timeout: wait for tokens, long enough for a share to move
    :ivar default_tokens: generated at most where the caller says nothing
    :ivar max_tokens: the most that may be asked for, for each choice
    :ivar max_choices: the most choices that may be asked for
    :ivar bytes_per_token: by which a prompt's tokens are estimated
    :ivar max_attempts: dispatches of one request
    :ivar max_requests: requests in flight
    :ivar max_queued: requests of an account that may wait
    :ivar drain_delay: a stopping node goes on accepting for so long
    """

    server: _http_connection.ServerSettings = _http_connection.ServerSettings()
    max_body_bytes: int = 8_388_608
    max_response_bytes: int = 16_777_216
    body_timeout: float = 30.0
    connect_timeout: float = 2.0
    response_timeout: float = 120.0
    read_timeout: float = 60.0
    queue_timeout: float = 10.0
    token_timeout: float = 1.0
    default_tokens: int = 1024
    max_tokens: int = 16_384
    max_choices: int = 8
    bytes_per_token: int = 4
    max_attempts: int = 3
    max_requests: int = 2_000
    max_queued: int = 256
    drain_delay: float = 3.0
