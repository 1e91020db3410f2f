"""Encoding of log appends and checkpoints as store values."""

import zlib
from typing import Any

import orjson
from cattrs.preconf.orjson import make_converter

from cardamomnotch_protocol.models import JournalRecord

from .const import MAX_CHECKPOINT_CHUNK_RECORDS
from .models import Checkpoint, LogAppend

_CONVERTER = make_converter(omit_if_default=True)
# Speed matters more than size; the repeated field names compress well at any
# level.
_COMPRESSION_LEVEL = 1


def _pack(data: Any) -> bytes:
    return zlib.compress(orjson.dumps(data), _COMPRESSION_LEVEL)


def _unpack(value: bytes) -> Any:
    return orjson.loads(zlib.decompress(value))


def encode_append(append: LogAppend) -> bytes:
    """Return ``append`` as a store value."""
    return _pack(_CONVERTER.unstructure(append))


def decode_append(value: bytes) -> LogAppend:
    """Return the append that is encoded in ``value``."""
    return _CONVERTER.structure(_unpack(value), LogAppend)


def encode_records(checkpoint: Checkpoint) -> list[bytes]:
    """Return the checkpoint's records as chunks of bounded size."""
    records = checkpoint.records
    return [
        _pack(
            _CONVERTER.unstructure(
                records[start : start + MAX_CHECKPOINT_CHUNK_RECORDS]
            )
        )
        for start in range(0, len(records), MAX_CHECKPOINT_CHUNK_RECORDS)
    ]


def decode_records(value: bytes) -> tuple[JournalRecord, ...]:
    """Return the records of one checkpoint chunk."""
    return _CONVERTER.structure(_unpack(value), tuple[JournalRecord, ...])


def encode_head(checkpoint: Checkpoint, chunks: int) -> bytes:
    """Return the checkpoint's header: all but its records, and their chunks.

    ``chunks`` is the number of chunks that hold the records.
    """
    data = {
        "chunks": chunks,
        "forgotten_before_s": checkpoint.forgotten_before_s,
        "sequence": checkpoint.sequence,
        "totals": _CONVERTER.unstructure(checkpoint.totals),
    }
    return _pack(data)


def decode_head(value: bytes) -> tuple[Checkpoint, int]:
    """Return a checkpoint without its records, and its number of chunks."""
    data = _unpack(value)
    chunks = data.pop("chunks")
    return _CONVERTER.structure(data, Checkpoint), chunks
