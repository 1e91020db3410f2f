"""HTTP handlers that pass buffered outcomes to entries."""

import time

from aiohttp import web

from cardamomnotch_core.journal.outcome_buffer import OutcomeBuffer
from cardamomnotch_protocol.const import PATH_OUTCOMES
from cardamomnotch_protocol.models import (
    Outcomes,
    OutcomesCommitted,
    OutcomesForgotten,
)
from cardamomnotch_runtime.frames import async_read_frame, frame_response


class OutcomeServer:
    """Sends outcomes to entries; deletes them once they are committed."""

    def __init__(self, buffer: OutcomeBuffer) -> None:
        self._buffer = buffer

    def add_routes(self, app: web.Application) -> None:
        """Add the routes that entries call."""
        app.router.add_get(PATH_OUTCOMES, self._async_send_due)
        app.router.add_post(PATH_OUTCOMES, self._async_delete_committed)

    async def _async_send_due(self, _: web.Request) -> web.Response:
        proposals = self._buffer.take_due(time.monotonic())
        return frame_response(Outcomes(proposals=proposals))

    async def _async_delete_committed(self, request: web.Request) -> web.Response:
        frame = await async_read_frame(request, OutcomesCommitted)
        self._buffer.forget(frame.message.attempt_ids)
        return frame_response(OutcomesForgotten(held=len(self._buffer)))
