"""Quarantine is distributed with the configuration."""

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


def _change(fingerprint, made_at_s, *parts):
    return QuarantineChange(
        fingerprint=fingerprint,
        parts=parts,
        made_at_s=made_at_s,
        until_s=made_at_s + 600.0,
    )


def test_next_change_drops_expired_quarantine():
    """The configuration keeps only quarantine that has not expired."""
    configuration = apply_change(_change("old", 0.0), Configuration())
    configuration = apply_change(_change("new", 700.0), configuration)
    assert [item.fingerprint for item in configuration.quarantined] == ["new"]


def test_quarantine_is_kept_in_the_document():
    """A restarted process gets the quarantine from the configuration."""
    configuration = apply_change(_change("poison", 1000.0), Configuration())
    document = document_from_configuration(configuration)
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


def test_suspected_parts_are_kept_in_the_document():
    """A restarted process refuses a part that crashed upstreams in two requests."""
    configuration = Configuration()
    for fingerprint in ("one", "two"):
        change = _change(fingerprint, 1000.0, "bad", fingerprint)
        configuration = apply_change(change, configuration)
    document = document_from_configuration(configuration)
    assert {frozenset(item) for item in document["quarantined"]} == {
        frozenset(("fingerprint", "until_s"))
    }
    holder = ConfigurationHolder()
    record = ConfigurationRecord(
        revision=1,
        change_id="c",
        configuration=configuration_from_document(document),
    )
    holder.offer(record)
    registry = QuarantineRegistry(holder, wall_offset_s=1000.0)
    registry.check_parts(frozenset({"one"}), 1.0)
    with pytest.raises(CardamomnotchError):
        registry.check_parts(frozenset({"bad", "three"}), 1.0)
    registry.check_parts(frozenset({"bad"}), 601.0)
