"""Rebasing an edited configuration onto the accepted one."""

from cardamomnotch_core.configuration.document import (
    configuration_from_document,
    document_from_configuration,
)
from cardamomnotch_core.configuration.models import Configuration
from cardamomnotch_core.configuration.rebase import rebase
from cardamomnotch_platform.store.configuration import RevisionConflictError
from cardamomnotch_platform.store.interface import KeyValueStore

from .writer import async_edit_configuration

_MAX_ATTEMPTS = 20


async def async_rebase(
    store: KeyValueStore, configuration: Configuration, base: Configuration
) -> int:
    """Apply the differences from ``base`` to the accepted configuration.

    Returns the accepted revision. Raises RebaseConflictError if others have
    changed the same entries, and RevisionConflictError if other changes keep
    being accepted first.
    """
    edited_document = document_from_configuration(configuration)
    base_document = document_from_configuration(base)

    def edit(current: Configuration) -> Configuration:
        merged = rebase(
            base_document, edited_document, document_from_configuration(current)
        )
        if merged.conflicts:
            raise RebaseConflictError(merged.conflicts)
        return configuration_from_document(merged.document)

    for _ in range(_MAX_ATTEMPTS - 1):
        try:
            return await async_edit_configuration(store, edit)
        except RebaseConflictError:
            raise
        except RevisionConflictError:
            continue
    return await async_edit_configuration(store, edit)


class RebaseConflictError(RevisionConflictError):
    """Others have changed the same entries since the base configuration."""

    def __init__(self, paths: tuple[str, ...]) -> None:
        self.paths = paths
        super().__init__(f"cannot rebase: others have changed {', '.join(paths)}")
