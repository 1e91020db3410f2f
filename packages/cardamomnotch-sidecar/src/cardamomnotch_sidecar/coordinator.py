"""Polling of the upstream's load report."""

from cardamomnotch_core.nodes import events
from cardamomnotch_runtime.runner import NodeRunner

from .upstream.models import UpstreamClient, UpstreamError


class UpstreamCoordinator:
    """Fetches the upstream's load report and dispatches it to the node."""

    def __init__(self, runner: NodeRunner, client: UpstreamClient) -> None:
        self._runner = runner
        self._client = client

    async def async_poll(self) -> None:
        """Fetch and dispatch the report once."""
        try:
            report = await self._client.async_fetch_report()
        except UpstreamError:
            self._runner.dispatch(events.UpstreamUnreachable())
            return
        self._runner.dispatch(
            events.UpstreamReported(
                start_id=report.start_id,
                waiting=report.waiting,
                versions=report.versions,
                fencing=report.fencing,
            )
        )
