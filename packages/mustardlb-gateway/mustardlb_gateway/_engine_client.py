"""Orders to engines and their reports."""

import enum

import structlog
import trio

from mustardlb_gateway import domain
from mustardlb_gateway import http_client
from mustardlb_gateway import ports

log = structlog.get_logger()

# Seconds for an answer to an order or a report. Engines answer in
# milliseconds; whoever waits for an adapter waits for this as well.
ANSWER_TIMEOUT = 0.15

# Largest report, bytes.
REPORT_LIMIT = 1_000_000


class OrderOutcome(enum.StrEnum):
    """What became of an order."""

    ACCEPTED = 'accepted'
    HOLDS = 'holds'
    BUSY = 'busy'
    FENCED = 'fenced'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


_OUTCOME_BY_STATUS = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED,
}


class EngineClient:
    """Speaks to the engines of all targets."""

    def __init__(
        self, pool: http_client.Pool, translation: ports.Translation
    ) -> None:
        self._pool = pool
        self._translation = translation

    async def order(
        self, target: domain.Target, order: domain.Order
    ) -> OrderOutcome:
        """Send an order and return what the engine said."""
        try:
            status, _ = await self._exchange(
                target, self._translation.write_order(order, target)
            )
        except http_client.ExchangeFailed as error:
            outcome, status = OrderOutcome.UNKNOWN, 0
            if not error.was_sent:
                outcome = OrderOutcome.REFUSED
        else:
            outcome = _OUTCOME_BY_STATUS.get(status, OrderOutcome.REFUSED)
        log.info(
            'MLB-6401',
            target=target.target_id,
            order=str(order.kind),
            adapter=str(order.adapter),
            version=order.version,
            fence=order.fence,
            expected=order.expected,
            status=status,
            outcome=str(outcome),
        )
        return outcome

    async def report(
        self, target: domain.Target
    ) -> domain.EngineReport | None:
        """Return an engine's report, None where it gives none."""
        try:
            status, body = await self._exchange(
                target, self._translation.write_report_request(target)
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
    ) -> tuple[int, bytes]:
        connection = await self._pool.acquire(
            target.target_id, target.host, target.port
        )
        try:
            with trio.fail_after(ANSWER_TIMEOUT):
                await connection.send(*request)
                head = await connection.receive_head(self._is_to_an_order)
                body = await connection.receive_body(REPORT_LIMIT)
        except trio.TooSlowError as error:
            connection.close()
            raise http_client.ExchangeFailed('no answer in time') from error
        except BaseException:
            connection.close()
            raise
        self._pool.release(target.target_id, connection)
        return head.status, body

    def _is_to_an_order(self, head: http_client.Head) -> bool:
        """Whether an answer may be one to an order: it names no request."""
        info = self._translation.read_answer(head.headers)
        return info.request_id is None and not info.is_signed
