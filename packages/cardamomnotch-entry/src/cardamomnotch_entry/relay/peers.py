"""Exchange of load notices between entries as JSON datagrams."""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any

import orjson

from cardamomnotch_core.relay.models import PromptPart
from cardamomnotch_core.relay.node import RelayNode
from cardamomnotch_core.relay.notices import LoadKind, LoadNotice
from cardamomnotch_runtime.settings import host_and_port
from cardamomnotch_runtime.structured_log import log_event

from .const import MAX_NOTICES_PER_DATAGRAM, NOTICE_BATCH_INTERVAL_S

_LOGGER = logging.getLogger(__name__)


def encode_notices(entry: str, notices: list[LoadNotice]) -> bytes:
    """Return the datagram with ``notices`` from ``entry``."""
    rows = [
        [
            notice.kind.value,
            notice.attempt,
            notice.upstream_id,
            notice.prefill_ms,
            notice.model,
            [[part.part_id, part.tokens] for part in notice.prompt],
            *([notice.session] if notice.session else []),
        ]
        if notice.kind is LoadKind.STARTED
        else [notice.kind.value, notice.attempt]
        for notice in notices
    ]
    return orjson.dumps([entry, rows])


def decode_notices(data: bytes) -> tuple[str, list[LoadNotice]]:
    """Return the sender's name and its notices.

    Raises ValueError or TypeError if the datagram is malformed.
    """
    entry, rows = orjson.loads(data)
    if not isinstance(entry, str):
        raise TypeError("the entry's name in a load notice is not a string")
    return entry, [_decode_row(*row) for row in rows]


def _decode_row(
    kind: str,
    attempt: int,
    upstream_id: str = "",
    prefill_ms: int = 0,
    model: str = "",
    prompt: Any = (),
    session: str = "",
) -> LoadNotice:
    return LoadNotice(
        kind=LoadKind(kind),
        attempt=attempt,
        upstream_id=upstream_id,
        prefill_ms=prefill_ms,
        model=model,
        prompt=tuple(
            PromptPart(part_id=part_id, tokens=tokens) for part_id, tokens in prompt
        ),
        session=session,
    )


class PeerExchange(asyncio.DatagramProtocol):
    """Sends this entry's load notices to its peers and applies theirs."""

    def __init__(
        self,
        node: RelayNode,
        clock: Callable[[], float],
        datagram_socket: socket.socket,
    ) -> None:
        self._node = node
        self._clock = clock
        self._datagram_socket = datagram_socket
        self._transport: asyncio.DatagramTransport | None = None
        self._malformed_datagrams = 0

    @property
    def malformed_datagrams(self) -> int:
        """Return how many received datagrams could not be decoded."""
        return self._malformed_datagrams

    async def async_setup(self) -> None:
        """Start receiving datagrams."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, sock=self._datagram_socket
        )

    async def async_unload(self) -> None:
        """Close the datagram socket."""
        if self._transport is not None:
            self._transport.close()

    async def async_send(self) -> None:
        """Send the notices since the last call to all peers."""
        await asyncio.sleep(NOTICE_BATCH_INTERVAL_S)
        notices = self._node.attempts.take_notices(self._clock())
        if not notices or self._transport is None:
            return
        for start in range(0, len(notices), MAX_NOTICES_PER_DATAGRAM):
            batch = notices[start : start + MAX_NOTICES_PER_DATAGRAM]
            data = encode_notices(self._node.identity.name, batch)
            for address in self._node.peer_addresses:
                self._transport.sendto(data, host_and_port(address))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Apply a peer's load notices; log only the first decoding error."""
        try:
            entry, notices = decode_notices(data)
        except (ValueError, TypeError) as error:
            self._malformed_datagrams += 1
            if self._malformed_datagrams == 1:
                log_event(
                    _LOGGER,
                    "load notice from a peer could not be decoded",
                    error=str(error),
                )
            return
        self._node.attempts.apply_notices(entry, notices, self._clock())

    def error_received(self, exc: Exception) -> None:
        """Log the failure only; peers are removed by their store record."""
        log_event(
            _LOGGER,
            "load notice to a peer could not be sent",
            logging.DEBUG,
            error=str(exc),
        )
