"""Conversion between JSON documents, messages and configuration classes."""

import hashlib
from collections.abc import Mapping
from typing import Any

import orjson

from cardamomnotch_protocol.exceptions import SchemaError
from cardamomnotch_protocol.models import ConfigurationMessage
from cardamomnotch_protocol.schema import strict_converter, structure

from .checks import find_problems
from .exceptions import ConfigurationError
from .models import Configuration, ConfigurationRecord

_CONVERTER = strict_converter(forbid_extra_keys=True)


def configuration_from_document(document: Any) -> Configuration:
    """Return the validated configuration from ``document``.

    Raises ConfigurationError with every problem found.
    """
    try:
        configuration = structure(_CONVERTER, document, Configuration)
    except SchemaError as error:
        raise ConfigurationError(error.problems) from error
    problems = find_problems(configuration)
    if problems:
        raise ConfigurationError(problems)
    return configuration


def document_from_configuration(configuration: Configuration) -> dict[str, Any]:
    """Return ``configuration`` as a JSON-compatible document."""
    return _CONVERTER.unstructure(configuration)


def document_digest(document: Mapping[str, Any]) -> str:
    """Return the SHA-256 digest of the canonical JSON of ``document``."""
    canonical = orjson.dumps(document, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(canonical).hexdigest()


def record_from_message(message: ConfigurationMessage) -> ConfigurationRecord:
    """Return the validated record from ``message``.

    Raises ConfigurationError if the digest does not match the document, or if
    the document is invalid.
    """
    if document_digest(message.document) != message.digest:
        raise ConfigurationError(("configuration digest does not match the document",))
    return ConfigurationRecord(
        revision=message.revision,
        change_id=message.change_id,
        configuration=configuration_from_document(message.document),
        message=message,
    )


def message_from_record(record: ConfigurationRecord) -> ConfigurationMessage:
    """Return the message for ``record``.

    If the record was received in a message, that message is returned.
    """
    if record.message is not None:
        return record.message
    document = document_from_configuration(record.configuration)
    return ConfigurationMessage(
        revision=record.revision,
        change_id=record.change_id,
        digest=document_digest(document),
        document=document,
    )
