"""Datagrams that entries exchange: JSON without a schema of its own.

A datagram is ``[entry, notices]``, with a third item ``true`` if the receiver
passes the notices on in its zone, or an object with the sender's name.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import orjson

from cardamomnotch_core.change_feed.models import (
    FeedPart,
    FeedRequest,
    StoreChange,
)
from cardamomnotch_core.relay.admission.const import WORKSPACE_HASH_DIGITS
from cardamomnotch_core.relay.const import MAX_PROMPT_PARTS
from cardamomnotch_core.relay.crashes.detection import Crash, Suspicion
from cardamomnotch_core.relay.crashes.evidence import Refutation
from cardamomnotch_core.relay.crashes.isolation import RunNotice
from cardamomnotch_core.relay.models import PromptPart, bounded_key
from cardamomnotch_core.relay.notices.models import LoadKind, LoadNotice
from cardamomnotch_core.relay.rollouts.answer_times import AnswerTimes
from cardamomnotch_core.relay.rollouts.reports import RolloutsMessage
from cardamomnotch_core.relay.rollouts.rollout import AnswerStats, RolloutReport
from cardamomnotch_core.relay.store_changes.changes import CrashesReported
from cardamomnotch_protocol.store_position import StorePosition

from .const import MAX_SUSPECT_BYTES_PER_DATAGRAM


def encode_notices(
    entry: str, notices: Sequence[LoadNotice], *, is_relayed: bool = False
) -> bytes:
    """Return the datagram with ``notices`` from ``entry``.

    ``is_relayed`` asks the receiver to pass them on in its zone.
    """
    rows = [
        [
            notice.kind.value,
            _encode_attempt(notice),
            notice.upstream_id,
            notice.prefill_ms,
            notice.model,
            [[part.part_id, part.tokens] for part in notice.prompt],
            *([notice.session] if notice.session else []),
        ]
        if notice.kind is LoadKind.STARTED
        else [notice.kind.value, _encode_attempt(notice)]
        for notice in notices
    ]
    return orjson.dumps([entry, rows, *([True] if is_relayed else [])])


def encode_rates(entry: str, rates: Mapping[str, float | None]) -> bytes:
    """Return the datagram with rate limits that upstreams have named.

    ``rates`` are in requests per second, by upstream process.
    """
    return orjson.dumps({"entry": entry, "rates": rates})


def decode_rates(message: dict[str, Any]) -> dict[str, float | None]:
    """Return the rate limits by upstream process; None for a limit's end.

    Raises ValueError, TypeError or AttributeError if the message is malformed.
    """
    return {
        process: None if rate is None else float(rate)
        for process, rate in message["rates"].items()
    }


def encode_unreachable(entry: str, processes: Sequence[str]) -> bytes:
    """Return the datagram with upstream processes that could not be reached."""
    return orjson.dumps({"entry": entry, "unreachable": processes})


def decode_unreachable(message: dict[str, Any]) -> tuple[str, list[str]]:
    """Return the sender's name and the processes that it could not reach.

    Raises KeyError or TypeError if the message is malformed.
    """
    return str(message["entry"]), [str(process) for process in message["unreachable"]]


def encode_reports(
    entry: str, report: CrashesReported, runs: Sequence[RunNotice]
) -> bytes:
    """Return the datagram with an entry's crashes and suspected runs."""
    return orjson.dumps(
        {
            "entry": entry,
            "crashes": [
                [crash.suspect, crash.process, int(crash.suspicion)]
                for crash in report.crashes
            ],
            # Entries of an earlier build refuse longer rows.
            "subsequent": [
                number
                for number, crash in enumerate(report.crashes)
                if crash.is_subsequent
            ],
            "refuted": [[item.suspect, item.process] for item in report.refutations],
            "runs": [
                [run.run, run.process, sorted(run.suspects), run.is_alone]
                for run in runs
            ],
        }
    )


def encode_suspects(entry: str, report: CrashesReported) -> Iterator[bytes]:
    """Yield datagrams with crashes and refutations that have many suspects each.

    Entries of an earlier build ignore them, and learn of them from the store.
    """
    crashes: dict[tuple[str, int, bool], list[str]] = {}
    for crash in report.crashes:
        group = crash.process, int(crash.suspicion), crash.is_subsequent
        crashes.setdefault(group, []).append(crash.suspect)
    refuted: dict[tuple[str], list[str]] = {}
    for item in report.refutations:
        refuted.setdefault((item.process,), []).append(item.suspect)
    for name, groups in (("crash_groups", crashes), ("refuted_groups", refuted)):
        for group, suspects in groups.items():
            for part in _split_suspects(suspects):
                yield orjson.dumps(
                    {
                        "entry": entry,
                        "crashes": [],
                        "refuted": [],
                        "runs": [],
                        name: [[*group, part]],
                    }
                )


def _split_suspects(suspects: Sequence[str]) -> Iterator[list[str]]:
    """Yield the suspects in groups that fit into one datagram each."""
    part: list[str] = []
    size = 0
    for suspect in suspects:
        # With the quotes and the comma.
        added = len(suspect) + 3
        if part and size + added > MAX_SUSPECT_BYTES_PER_DATAGRAM:
            yield part
            part, size = [], 0
        part.append(suspect)
        size += added
    if part:
        yield part


def decode_reports(
    message: dict[str, Any],
) -> tuple[str, CrashesReported, list[RunNotice]]:
    """Return the sender's name, its crashes, and its suspected runs.

    Raises KeyError, ValueError or TypeError if the message is malformed.
    """
    subsequent = frozenset(message.get("subsequent", ()))
    rows = [
        (suspect, process, suspicion, number in subsequent)
        for number, (suspect, process, suspicion) in enumerate(message["crashes"])
    ]
    for process, suspicion, is_subsequent, suspects in message.get("crash_groups", ()):
        rows += [(suspect, process, suspicion, is_subsequent) for suspect in suspects]
    refuted = list(message["refuted"])
    for process, suspects in message.get("refuted_groups", ()):
        refuted += [(suspect, process) for suspect in suspects]
    report = CrashesReported(
        crashes=tuple(
            Crash(
                suspect=str(suspect),
                process=str(process),
                suspicion=Suspicion(suspicion),
                is_subsequent=bool(is_subsequent),
            )
            for suspect, process, suspicion, is_subsequent in rows
        ),
        refutations=tuple(
            Refutation(str(suspect), str(process)) for suspect, process in refuted
        ),
    )
    runs = [
        RunNotice(
            run=int(run),
            process=str(process),
            suspects=frozenset(map(str, suspects)),
            is_alone=bool(is_alone),
        )
        for run, process, suspects, is_alone in message["runs"]
    ]
    return str(message["entry"]), report, runs


def decode_notices(message: Any) -> tuple[str, list[LoadNotice], bool]:
    """Return the sender's name, its notices, and whether to pass them on.

    Raises ValueError or TypeError if the message is malformed.
    """
    entry, rows, *relayed = message
    if not isinstance(entry, str):
        raise TypeError("the entry's name in a load notice is not a string")
    if relayed not in ([], [True]):
        raise ValueError("a load notice has more than the mark that it is passed on")
    return entry, [_decode_row(*row) for row in rows], bool(relayed)


def _encode_attempt(notice: LoadNotice) -> int | str:
    """Return the attempt's number, followed by its workspace if that is known.

    Entries of an earlier build refuse longer rows, but take any value as the name of an
    attempt, and pass it on unchanged.
    """
    if not notice.workspace:
        return notice.attempt
    return f"{notice.attempt}.{notice.workspace}"


def _decode_attempt(attempt: int | str) -> tuple[int, str]:
    """Return the attempt's number and the hash of its workspace, empty if unknown."""
    if isinstance(attempt, int):
        return attempt, ""
    number, _, workspace = attempt.partition(".")
    if len(workspace) != WORKSPACE_HASH_DIGITS:
        raise ValueError("the workspace of a load notice has the wrong length")
    return int(number), workspace


def _decode_row(
    kind: str,
    attempt: int | str,
    upstream_id: str = "",
    prefill_ms: int = 0,
    model: str = "",
    prompt: Any = (),
    session: str = "",
) -> LoadNotice:
    number, workspace = _decode_attempt(attempt)
    return LoadNotice(
        kind=LoadKind(kind),
        attempt=number,
        workspace=workspace,
        upstream_id=upstream_id,
        prefill_ms=prefill_ms,
        model=model,
        # Entries of an earlier build send all parts of a prompt.
        prompt=tuple(
            PromptPart(part_id=bounded_key(part_id), tokens=tokens)
            for part_id, tokens in prompt[:MAX_PROMPT_PARTS]
        ),
        session=bounded_key(session),
    )


def encode_rollouts(message: RolloutsMessage) -> bytes:
    """Return the datagram with an entry's rollout statistics."""
    reports = {
        service: [
            report.order_id.revision,
            report.share,
            report.passed_s,
            *(
                [stats.answers, stats.bad, stats.in_flight, stats.times.counts]
                for stats in (report.new, report.old)
            ),
        ]
        for service, report in message.reports.items()
    }
    return orjson.dumps(
        {
            "entry": message.entry,
            "incarnation": message.incarnation,
            "resumed": message.resumed,
            "rollouts": reports,
            "eras": {
                service: report.order_id.era
                for service, report in message.reports.items()
            },
        }
    )


def decode_rollouts(message: dict[str, Any]) -> RolloutsMessage:
    """Return an entry's rollout statistics.

    Raises KeyError, ValueError, TypeError or AttributeError if the message is
    malformed.
    """
    # Entries of an earlier build know no eras.
    eras = message.get("eras", {})
    return RolloutsMessage(
        entry=str(message["entry"]),
        incarnation=str(message["incarnation"]),
        resumed=str(message["resumed"]),
        reports={
            service: RolloutReport(
                order_id=StorePosition(int(eras.get(service, 0)), int(order_id)),
                share=float(share),
                passed_s=float(passed_s),
                new=_decode_stats(*new),
                old=_decode_stats(*old),
            )
            for service, (order_id, share, passed_s, new, old) in message[
                "rollouts"
            ].items()
        },
    )


def _decode_stats(
    answers: int, bad: int, in_flight: int, counts: Sequence[int]
) -> AnswerStats:
    return AnswerStats(
        answers=int(answers),
        bad=int(bad),
        in_flight=int(in_flight),
        times=AnswerTimes(counts=[int(count) for count in counts]),
    )


def encode_feed_request(entry: str, request: FeedRequest) -> bytes:
    """Return the datagram that asks for store changes."""
    position = request.position
    return orjson.dumps(
        {
            "feed": entry,
            "ask": [request.token, position.revision],
            "era": position.era,
        }
    )


def encode_feed_part(entry: str, part: FeedPart) -> bytes:
    """Return the datagram with store changes for an entry that has asked."""
    changes = [_encode_change(change) for change in part.changes]
    return orjson.dumps(
        {
            "feed": entry,
            "part": [
                part.token,
                part.after.revision,
                part.position.revision,
                part.age_s,
                part.is_gap,
                changes,
            ],
            "era": part.position.era,
        }
    )


def _encode_change(change: StoreChange) -> list[Any]:
    """Return [key, revision, value, whether the value is left out]."""
    try:
        value = None if change.value is None else change.value.decode()
    except UnicodeDecodeError:
        return [change.key, change.position.revision, None, True]
    return [change.key, change.position.revision, value, change.is_omitted]


def decode_feed_request(message: dict[str, Any]) -> FeedRequest:
    """Return the request for store changes.

    Raises ValueError or TypeError if the message is malformed.
    """
    token, revision = message["ask"]
    return FeedRequest(
        token=int(token), position=StorePosition(_decode_era(message), int(revision))
    )


def _decode_era(message: dict[str, Any]) -> int:
    """Return the era of a message's revisions; an earlier build states none."""
    return int(message.get("era", 0))


def decode_feed_part(message: dict[str, Any]) -> FeedPart:
    """Return the store changes from another entry.

    Raises KeyError, ValueError, TypeError or AttributeError if the message is
    malformed.
    """
    token, after, revision, age_s, is_gap, changes = message["part"]
    era = _decode_era(message)
    return FeedPart(
        token=int(token),
        after=StorePosition(era, int(after)),
        position=StorePosition(era, int(revision)),
        age_s=None if age_s is None else float(age_s),
        is_gap=bool(is_gap),
        changes=tuple(
            StoreChange(
                key=str(key),
                position=StorePosition(era, int(change_revision)),
                value=None if value is None else value.encode(),
                is_omitted=bool(is_omitted),
            )
            for key, change_revision, value, is_omitted in changes
        ),
    )
