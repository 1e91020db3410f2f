"""Session headers of callers' requests and their answers."""

from collections.abc import Mapping

import attrs

from cardamomnotch_core.attempts.entry_table import CallerRequest
from cardamomnotch_core.configuration.holder import ConfigurationHolder
from cardamomnotch_core.sessions.token import (
    SessionBinding,
    SessionError,
    SessionSigner,
)

from ..const import HEADER_SESSION, HEADER_SESSION_REPLACED, HEADER_VERSION


@attrs.frozen
class CallerSession:
    """The session of one request."""

    signer: SessionSigner
    workspace: str
    # The version that the caller's token names; empty for a new session.
    version: str = ""

    def answer_headers(self, headers: Mapping[str, str]) -> dict[str, str]:
        """Return the headers to add to an answer with ``headers``."""
        served = headers.get(HEADER_VERSION)
        if not served:
            return {}
        binding = SessionBinding(workspace=self.workspace, version=served)
        added = {HEADER_SESSION: self.signer.sign(binding)}
        if self.version and self.version != served:
            added[HEADER_SESSION_REPLACED] = self.version
        return added


class CallerSessions:
    """Reads the session that a caller sent back."""

    def __init__(
        self, signer: SessionSigner, configuration: ConfigurationHolder
    ) -> None:
        self._signer = signer
        self._configuration = configuration

    def read(self, request: CallerRequest, token: str) -> CallerSession | None:
        """Return the session; None for a caller who is not known.

        Raises SessionError if ``token`` is not a token of the workspace.
        """
        record = self._configuration.record
        if record is None:
            return None
        known = record.configuration.workspaces_by_digest.get(request.key_digest)
        if known is None:
            return None
        if not token:
            return CallerSession(self._signer, known.name)
        binding = self._signer.verify(token)
        if binding.workspace != known.name:
            raise SessionError
        return CallerSession(self._signer, known.name, binding.version)
