"""Settings of the callers' port."""

import dataclasses

from mustardlbd import _http_connection


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSettings:
    """Limits of requests, in bytes, seconds and tokens.

    :ivar server: settings of the callers' port
    :ivar max_body_bytes: size of a request body that is buffered
    :ivar max_response_bytes: size of a target's response that is buffered
    :ivar body_timeout: time between two blocks of a request body
    :ivar connect_timeout: time to connect to a target
    :ivar response_timeout: time until a target's response starts
    :ivar read_timeout: time between two blocks of a target's response
    :ivar queue_timeout: time in the queue for concurrency and for a target
    :ivar token_timeout: time to reserve tokens; it has to be long enough for
        another node to return a part of its share
    :ivar default_tokens: token limit of a choice if the caller sets none
    :ivar max_tokens: highest token limit of a choice that callers may set
    :ivar max_choices: highest number of choices that callers may request
    :ivar bytes_per_token: ratio by which the tokens of a prompt are estimated
    :ivar max_attempts: dispatches of one request
    :ivar max_requests: requests in flight
    :ivar max_queued: queued requests of an account
    :ivar drain_delay: time for which a stopping node still accepts requests
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
