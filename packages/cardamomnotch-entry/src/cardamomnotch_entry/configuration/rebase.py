"""Applying lists on top of what others have applied since."""

from cardamomnotch_core.configuration.document import (
    configuration_from_document,
    document_from_configuration,
)
from cardamomnotch_core.configuration.models import Configuration
from cardamomnotch_core.configuration.rebase import rebase
from cardamomnotch_platform.store.configuration import RevisionConflictError
from cardamomnotch_platform.store.interface import KeyValueStore

from .writer import async_edit_configuration

_MAX_TRIES = 20


async def async_rebase(
    store: KeyValueStore, configuration: Configuration, base: Configuration
) -> int:
    """Put what ``configuration`` changes in ``base`` on top of what holds.

    Raises RevisionConflictError that names the entries which others have
    changed otherwise.
    """
    mine = document_from_configuration(configuration)
    former = document_from_configuration(base)

    def edit(current: Configuration) -> Configuration:
        joined = rebase(former, mine, document_from_configuration(current))
        if joined.conflicts:
            raise RebaseConflictError(joined.conflicts)
        return configuration_from_document(joined.document)

    for _ in range(_MAX_TRIES - 1):
        try:
            return await async_edit_configuration(store, edit)
        except RebaseConflictError:
            raise
        except RevisionConflictError:
            continue
    return await async_edit_configuration(store, edit)


class RebaseConflictError(RevisionConflictError):
    """Others have changed the same entries."""

    def __init__(self, paths: tuple[str, ...]) -> None:
        self.paths = paths
        super().__init__(f"others have changed {', '.join(paths)}")
