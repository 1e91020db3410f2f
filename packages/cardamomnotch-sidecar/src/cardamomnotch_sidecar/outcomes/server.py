"""Hands outcomes to entries, and forgets them once they are committed."""

import time

from aiohttp import web

from cardamomnotch_core.journal.holder import OutcomeHolder
from cardamomnotch_protocol.const import PATH_OUTCOMES
from cardamomnotch_protocol.models import (
    Outcomes,
    OutcomesCommitted,
    OutcomesForgotten,
)
from cardamomnotch_runtime.frames import async_read_frame, frame_response


class OutcomeServer:
    """Serves the outcomes of one holder."""

    def __init__(self, holder: OutcomeHolder) -> None:
        self._holder = holder

    def add_routes(self, app: web.Application) -> None:
        """Serve entries."""
        app.router.add_get(PATH_OUTCOMES, self._async_hand_out)
        app.router.add_post(PATH_OUTCOMES, self._async_forget)

    async def _async_hand_out(self, _: web.Request) -> web.Response:
        proposals = self._holder.hand_out(time.monotonic())
        return frame_response(Outcomes(proposals=proposals))

    async def _async_forget(self, request: web.Request) -> web.Response:
        frame = await async_read_frame(request, OutcomesCommitted)
        self._holder.forget(frame.message.attempt_ids)
        return frame_response(OutcomesForgotten(held=len(self._holder)))
