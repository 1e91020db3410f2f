"""Exchange of load notices and crashes between entries as JSON datagrams."""

import asyncio
import itertools
import logging
import socket
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from typing import Any, TypeVar

import orjson

from cardamomnotch_core.change_feed.models import FeedPart
from cardamomnotch_core.relay.crashes.isolation import RunNotice
from cardamomnotch_core.relay.node import RelayNode
from cardamomnotch_core.relay.notices.models import LoadNotice
from cardamomnotch_core.relay.store_changes.changes import CrashesReported
from cardamomnotch_runtime.settings import host_and_port
from cardamomnotch_runtime.structured_log import log_event

from .const import (
    MAX_NOTICES_PER_DATAGRAM,
    MAX_REPORTS_PER_DATAGRAM,
    MAX_SUSPECT_DATAGRAMS_AT_ONCE,
    MAX_SUSPECT_ROWS,
    MAX_WAITING_SUSPECT_DATAGRAMS,
    NOTICE_BATCH_INTERVAL_S,
)
from .peer_messages import (
    decode_feed_part,
    decode_feed_request,
    decode_notices,
    decode_rates,
    decode_reports,
    decode_rollouts,
    decode_unreachable,
    encode_feed_part,
    encode_feed_request,
    encode_notices,
    encode_rates,
    encode_reports,
    encode_rollouts,
    encode_suspects,
    encode_unreachable,
)

_LOGGER = logging.getLogger(__name__)

_Row = TypeVar("_Row")


def _batches(rows: Sequence[_Row], size: int) -> Iterator[Sequence[_Row]]:
    for start in range(0, len(rows), size):
        yield rows[start : start + size]


class PeerExchange(asyncio.DatagramProtocol):
    """Sends this entry's notices and crashes to its peers and applies theirs."""

    def __init__(
        self,
        node: RelayNode,
        clock: Callable[[], float],
        datagram_socket: socket.socket,
        apply_part: Callable[[str, FeedPart], None] = lambda entry, part: None,
    ) -> None:
        self._node = node
        self._clock = clock
        # Called with what another entry has read from the store, and its name.
        self._apply_part = apply_part
        self._datagram_socket = datagram_socket
        self._transport: asyncio.DatagramTransport | None = None
        self._malformed_datagrams = 0
        # Datagrams with the suspects of crashes that have many.
        self._waiting_suspects: deque[bytes] = deque(
            maxlen=MAX_WAITING_SUSPECT_DATAGRAMS
        )

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
        """Send what is new since the last call to all peers."""
        await asyncio.sleep(NOTICE_BATCH_INTERVAL_S)
        if self._transport is None:
            return
        self._send_feed()
        self._send_reports()
        self._send_rollouts()
        unreachable = self._node.reachability.take_unsent()
        for processes in _batches(unreachable, MAX_REPORTS_PER_DATAGRAM):
            self._send(encode_unreachable(self._node.identity.name, processes))
        rates = list(self._node.rates.take_unsent().items())
        for rates_batch in _batches(rates, MAX_REPORTS_PER_DATAGRAM):
            self._send(encode_rates(self._node.identity.name, dict(rates_batch)))
        notices = self._node.attempts.take_notices(self._clock())
        for batch in _batches(notices, MAX_NOTICES_PER_DATAGRAM):
            self._send_notices(batch)

    def _send_feed(self) -> None:
        """Send what readers of this entry lack, and its own requests."""
        now_s, name = self._clock(), self._node.identity.name
        for address, part in self._node.feed.pushes(now_s):
            self._send_to(address, encode_feed_part(name, part))
        for address, request in self._node.feed.requests(now_s):
            self._send_to(address, encode_feed_request(name, request))

    def _send_rollouts(self) -> None:
        """Send this entry's rollout statistics to the sources of its zone."""
        due = self._node.rollout_reports.take_due(self._clock())
        if due is None:
            return
        addresses, message = due
        data = encode_rollouts(message)
        for address in addresses:
            self._send_to(address, data)

    def _send_reports(self) -> None:
        """Send crashes, refutations and suspected runs."""
        report = self._node.quarantine.take_unsent()
        if max(len(report.crashes), len(report.refutations)) > MAX_SUSPECT_ROWS:
            name = self._node.identity.name
            self._waiting_suspects.extend(encode_suspects(name, report))
            report = CrashesReported(crashes=())
        for _ in range(min(len(self._waiting_suspects), MAX_SUSPECT_DATAGRAMS_AT_ONCE)):
            self._send(self._waiting_suspects.popleft())
        runs = self._node.isolation.take_notices(self._clock())
        columns = itertools.zip_longest(
            *(
                _batches(rows, MAX_REPORTS_PER_DATAGRAM)
                for rows in (runs, report.crashes, report.refutations)
            ),
            fillvalue=(),
        )
        for run_batch, crashes, refutations in columns:
            batch = CrashesReported(
                crashes=tuple(crashes), refutations=tuple(refutations)
            )
            self._send(encode_reports(self._node.identity.name, batch, run_batch))

    def _send_notices(self, notices: Sequence[LoadNotice]) -> None:
        """Send load notices, to other zones by one of their entries."""
        name = self._node.identity.name
        data = {
            is_relayed: encode_notices(name, notices, is_relayed=is_relayed)
            for is_relayed in (False, True)
        }
        for target in self._node.notice_routes.targets():
            self._send_to(target.address, data[target.is_relay])

    def _send(self, data: bytes) -> None:
        for address in self._node.peer_addresses:
            self._send_to(address, data)

    def _send_to(self, address: str, data: bytes) -> None:
        self._transport.sendto(data, host_and_port(address))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Apply a peer's datagram; log only the first decoding error."""
        try:
            message = orjson.loads(data)
            if isinstance(message, dict) and "feed" in message:
                self._apply_feed(str(message["feed"]), message, addr)
            elif isinstance(message, dict) and "rollouts" in message:
                self._node.rollout_reports.apply(
                    decode_rollouts(message), self._clock()
                )
            elif isinstance(message, dict) and "unreachable" in message:
                entry, processes = decode_unreachable(message)
                self._node.apply_unreachable(entry, processes, self._clock())
            elif isinstance(message, dict) and "rates" in message:
                self._node.rates.apply(decode_rates(message), self._clock())
            elif isinstance(message, dict):
                self._apply_reports(*decode_reports(message))
            else:
                entry, notices, is_relayed = decode_notices(message)
                self._node.attempts.apply_notices(entry, notices, self._clock())
                if is_relayed:
                    self._pass_on(encode_notices(entry, notices))
        except (AttributeError, KeyError, ValueError, TypeError) as error:
            self._malformed_datagrams += 1
            if self._malformed_datagrams == 1:
                log_event(
                    _LOGGER,
                    "load notice from a peer could not be decoded",
                    error=str(error),
                )

    def _pass_on(self, data: bytes) -> None:
        """Send another zone's notices to the other entries of this zone."""
        for address in self._node.notice_routes.zone_addresses():
            self._send_to(address, data)

    def _apply_feed(self, entry: str, message: dict[str, Any], addr: Any) -> None:
        """Answer a request for store changes, or apply another entry's answer."""
        if "ask" in message:
            host, port = addr[:2]
            address = f"{host}:{port}"
            for part in self._node.feed.handle_request(
                entry, address, decode_feed_request(message), self._clock()
            ):
                self._send_to(address, encode_feed_part(self._node.identity.name, part))
            return
        self._apply_part(entry, decode_feed_part(message))

    def _apply_reports(
        self, entry: str, report: CrashesReported, runs: list[RunNotice]
    ) -> None:
        now_s = self._clock()
        self._node.apply_crash_report(report, now_s, is_stored=False)
        self._node.isolation.apply(entry, runs, now_s)

    def error_received(self, exc: Exception) -> None:
        """Log the failure only; peers are removed by their store record."""
        log_event(
            _LOGGER,
            "load notice to a peer could not be sent",
            logging.DEBUG,
            error=str(exc),
        )
