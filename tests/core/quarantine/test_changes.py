"""Quarantine travels with the lists."""

import pytest

from cardamomnotch_core.configuration.changes import apply_change
from cardamomnotch_core.configuration.document import (
    configuration_from_document,
    document_from_configuration,
)
from cardamomnotch_core.configuration.holder import ConfigurationHolder
from cardamomnotch_core.configuration.models import Configuration, ConfigurationRecord
from cardamomnotch_core.quarantine.changes import QuarantineChange
from cardamomnotch_core.quarantine.registry import QuarantineRegistry
from cardamomnotch_protocol.exceptions import CardamomnotchError


def _change(fingerprint, made_at_s):
    return QuarantineChange(
        fingerprint=fingerprint, made_at_s=made_at_s, until_s=made_at_s + 600.0
    )


def test_expired_entries_go_with_the_next_change():
    """The lists hold only what still counts."""
    lists = apply_change(_change("old", 0.0), Configuration())
    lists = apply_change(_change("new", 700.0), lists)
    assert [item.fingerprint for item in lists.quarantined] == ["new"]


def test_quarantine_survives_the_document():
    """A restarted process reads the quarantine from the lists alone."""
    lists = apply_change(_change("poison", 1000.0), Configuration())
    document = document_from_configuration(lists)
    holder = ConfigurationHolder()
    record = ConfigurationRecord(
        revision=1,
        change_id="c",
        configuration=configuration_from_document(document),
    )
    holder.offer(record)
    registry = QuarantineRegistry(holder, wall_offset_s=1000.0)
    with pytest.raises(CardamomnotchError):
        registry.check("poison", 599.0)
    registry.check("poison", 601.0)
