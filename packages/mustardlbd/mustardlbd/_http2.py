"""Hypercorn's HTTP/2 protocol, which resets truncated responses."""

from typing import Any

import h2.errors
import h2.events
import h2.exceptions
from hypercorn.protocol import events
from hypercorn.protocol import h2 as hypercorn_h2


class Http2(hypercorn_h2.H2Protocol):
    """HTTP/2 that resets a stream whose response was truncated."""

    async def stream_send(self, event: events.Event) -> None:
        if isinstance(event, events.StreamClosed):
            await self._reset_unfinished(event.stream_id)
        await super().stream_send(event)

    async def _reset_unfinished(self, stream_id: int) -> None:
        buffer = self.stream_buffers.get(stream_id)
        if self.closed or buffer is None or buffer.complete:
            return
        try:
            self.connection.reset_stream(
                stream_id, h2.errors.ErrorCodes.INTERNAL_ERROR
            )
        except h2.exceptions.ProtocolError:
            return
        await buffer.close()
        await self._flush()

    async def _handle_events(self, received: list[Any]) -> None:
        for event in received:
            is_data = isinstance(event, h2.events.DataReceived)
            if is_data and event.stream_id not in self.streams:
                # The response was complete before the whole body arrived.
                # Without the acknowledgement the connection's flow control
                # window would shrink.
                self.connection.acknowledge_received_data(
                    event.flow_controlled_length, event.stream_id
                )
                await self._flush()
                continue
            await super()._handle_events([event])
