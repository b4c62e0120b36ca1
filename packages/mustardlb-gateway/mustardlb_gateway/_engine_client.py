"""HTTP client for engine commands and reports."""

from collections import abc
import enum

import structlog
import trio

from mustardlb_gateway import _target_states
from mustardlb_gateway import domain
from mustardlb_gateway import http_client
from mustardlb_gateway import ports

log = structlog.get_logger()

# Engines respond within milliseconds. The timeout is short because it adds to
# the latency of the calls whose adapter is being loaded.
RESPONSE_TIMEOUT_SECONDS = 0.15

MAX_REPORT_BYTES = 1_000_000

# Stands for the missing id of commands. An unload is sent on a connection that
# carried no command: a late response to an earlier one would look like its
# own, and the next load would exceed the slots of the engine. For other
# commands, a late response leads at worst to a rejected request or to a
# command that the engine refuses, as its count of commands differs.
_NO_ID = '-'


class CommandOutcome(enum.StrEnum):
    """The outcome of a command.

    ACCEPTED: the engine executes the command
    HOLDS: the engine is in the requested state already, or unloaded at once
    BUSY: the engine accepts no such command now, for example because the
        expected count of accepted commands differs
    FENCED: the engine has a higher fencing token
    REFUSED: the command was rejected or never sent
    UNKNOWN: the command was sent and got no response
    """

    ACCEPTED = 'accepted'
    HOLDS = 'holds'
    BUSY = 'busy'
    FENCED = 'fenced'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


_OUTCOME_BY_STATUS = {
    200: CommandOutcome.HOLDS,
    202: CommandOutcome.ACCEPTED,
    409: CommandOutcome.BUSY,
    412: CommandOutcome.FENCED,
}


class EngineClient:
    """Sends commands to engines and requests their reports."""

    def __init__(
        self,
        pool: http_client.Pool,
        translation: ports.Translation,
        record_limit: abc.Callable[
            [domain.Target, float | None, float, float | None], None
        ],
        states: _target_states.TargetStates,
    ) -> None:
        self._pool = pool
        self._translation = translation
        self._record_limit = record_limit
        self._states = states

    async def send_command(
        self,
        target: domain.Target,
        command: domain.Command,
        is_permitted: abc.Callable[[], bool] = lambda: True,
    ) -> CommandOutcome:
        """Send a command and return its outcome.

        :param is_permitted: asked directly before the command is sent
        """
        is_unload = command.kind == domain.CommandKind.UNLOAD
        try:
            status, _ = await self._exchange(
                target,
                self._translation.write_command(command, target),
                self._is_command_response,
                is_permitted,
                excluded_id=_NO_ID if is_unload else '',
                added_id=_NO_ID,
            )
        except http_client.ExchangeFailed as error:
            outcome, status = CommandOutcome.UNKNOWN, 0
            if not error.was_sent:
                outcome = CommandOutcome.REFUSED
        else:
            outcome = _OUTCOME_BY_STATUS.get(status, CommandOutcome.REFUSED)
        log.info(
            'MLB-6401',
            target=target.target_id,
            order=str(command.kind),
            adapter=str(command.adapter),
            version=command.version,
            fence=command.fence,
            expected=command.expected,
            status=status,
            outcome=str(outcome),
        )
        return outcome

    async def report(
        self, target: domain.Target
    ) -> domain.EngineReport | None:
        """Return an engine's report, or None if it is unavailable."""
        try:
            status, body = await self._exchange(
                target,
                self._translation.write_report_request(target),
                self._has_no_id,
            )
        except http_client.ExchangeFailed as error:
            log.info('MLB-6402', target=target.target_id, problem=str(error))
            return None
        if status != 200:
            log.info('MLB-6402', target=target.target_id, problem=status)
            return None
        return self._translation.read_report(body)

    async def _exchange(
        self,
        target: domain.Target,
        request: tuple[bytes, bytes, domain.Headers, bytes],
        accept: abc.Callable[[http_client.Head], bool],
        is_permitted: abc.Callable[[], bool] = lambda: True,
        excluded_id: str = '',
        added_id: str = '',
    ) -> tuple[int, bytes]:
        """Send a request; return the status and body of its response.

        :param accept: returns whether a response can belong to the request
        :param is_permitted: asked directly before the request is sent
        :param excluded_id: what the connection has not carried yet
        :param added_id: what it carries now
        """
        if self._states.rest(target):
            raise http_client.ExchangeFailed(
                'the target has asked for rest', was_sent=False
            )
        connection = await self._pool.acquire(
            target.target_id, target.host, target.port, request_id=excluded_id
        )
        if not is_permitted():
            self._pool.release(target.target_id, connection)
            log.info('MLB-6252', target=target.target_id)
            raise http_client.ExchangeFailed(
                'the lease was looked at too long ago', was_sent=False
            )
        if added_id:
            connection.add_request_id(added_id)
        try:
            with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
                await connection.send(*request)
                head = await connection.receive_head(accept)
                body = await connection.receive_body(MAX_REPORT_BYTES)
        except trio.TooSlowError as error:
            connection.close()
            raise http_client.ExchangeFailed(
                'no response within the timeout'
            ) from error
        except BaseException:
            connection.close()
            raise
        self._pool.release(target.target_id, connection)
        info = self._translation.read_response(head.headers)
        self._states.record_response(target, head.status, info)
        if info.request_limit is not None or info.max_rejections is not None:
            # Only responses to calls show that there is none any more.
            self._record_limit(
                target, info.request_limit, 0.0, info.max_rejections
            )
        return head.status, body

    def _is_command_response(self, head: http_client.Head) -> bool:
        """Return whether a response can belong to a command.

        A report has a content type, which responses to commands lack.
        """
        names = {name for name, _ in head.headers}
        return b'content-type' not in names and self._has_no_id(head)

    def _has_no_id(self, head: http_client.Head) -> bool:
        """Return whether a response can belong to a command or report.

        Late responses to calls on the same connection have a request ID.
        """
        info = self._translation.read_response(head.headers)
        return info.request_id is None and not info.is_signed
