"""Errors with a stable code, and the step and peer at which they occurred."""

import dataclasses
import enum
import http

from mustardlb import steps


class Code(enum.StrEnum):
    """Stable error codes, documented in docs/errors.md."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    REQUEST_TIMEOUT = 'request_timeout'
    UNAUTHENTICATED = 'unauthenticated'
    KEY_WITHDRAWN = 'key_withdrawn'
    NOT_GRANTED = 'not_granted'
    VERSION_REQUIRED = 'version_required'
    ROUTE_NOT_FOUND = 'route_not_found'
    RATE_LIMITED = 'rate_limited'
    COST_ABOVE_BURST = 'cost_above_burst'
    CONCURRENCY_LIMITED = 'concurrency_limited'
    NODE_NOT_CURRENT = 'node_not_current'
    NODE_STOPPING = 'node_stopping'
    OVERLOADED = 'overloaded'
    NO_TARGET = 'no_target'
    QUARANTINED = 'quarantined'
    STREAM_UNKNOWN = 'stream_unknown'
    LOAD_FAILED = 'load_failed'
    TARGET_FAILED = 'target_failed'
    TARGET_TIMEOUT = 'target_timeout'
    WRONG_ADAPTER = 'wrong_adapter'
    ANSWER_CUT = 'answer_cut'
    IN_PROGRESS = 'in_progress'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    KEY_REUSED = 'idempotency_key_reused'
    RECORD_UNAVAILABLE = 'record_unavailable'
    CONFLICT = 'conflict'
    WRITE_UNKNOWN = 'write_unknown'
    INVALID_SETTINGS = 'invalid_settings'
    INVALID_CONTRACT = 'invalid_contract'
    INVALID_OBJECT = 'invalid_object'
    API_UNAVAILABLE = 'api_unavailable'
    PEER_UNAVAILABLE = 'peer_unavailable'
    PEER_REFUSED = 'peer_refused'
    FENCED = 'fenced'
    INTERNAL = 'internal'


_STATUS_BY_CODE = {
    Code.BAD_REQUEST: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.HEADERS_TOO_LARGE: 431,
    Code.REQUEST_TIMEOUT: 408,
    Code.UNAUTHENTICATED: 401,
    Code.KEY_WITHDRAWN: 401,
    Code.NOT_GRANTED: 403,
    Code.VERSION_REQUIRED: 400,
    Code.ROUTE_NOT_FOUND: 404,
    Code.RATE_LIMITED: 429,
    Code.COST_ABOVE_BURST: 400,
    Code.CONCURRENCY_LIMITED: 429,
    Code.TARGET_FAILED: 502,
    Code.WRONG_ADAPTER: 502,
    Code.ANSWER_CUT: 502,
    Code.TARGET_TIMEOUT: 504,
    Code.IN_PROGRESS: 409,
    Code.OUTCOME_UNKNOWN: 409,
    Code.KEY_REUSED: 422,
    Code.CONFLICT: 409,
    Code.INTERNAL: 500,
}


@dataclasses.dataclass
class Error(Exception):
    """An error reported to a caller, an operator or a peer.

    :ivar code: the stable code
    :ivar message: one readable sentence without secrets
    :ivar step: the step at which the error occurred
    :ivar peer: VM, target or service that caused it, '' for this process
    :ivar not_run: True only if no target has started the request or can
        still start it
    :ivar retry_after: seconds after which a retry can succeed, or None

    >>> from mustardlb import steps
    >>> str(Error(Code.NO_TARGET, 'none is up', steps.Step.PLACEMENT))
    'no_target at placement: none is up'
    """

    code: Code
    message: str
    step: steps.Step
    peer: str = ''
    not_run: bool = False
    retry_after: float | None = None

    def __str__(self) -> str:
        """Return code, step, peer and message on one line."""
        place = f'{self.step}@{self.peer}' if self.peer else str(self.step)
        return f'{self.code} at {place}: {self.message}'

    @property
    def status(self) -> int:
        """The HTTP status of the code."""
        return _STATUS_BY_CODE.get(
            self.code, http.HTTPStatus.SERVICE_UNAVAILABLE
        )
