"""Session headers of callers' requests and of the responses to them."""

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
    # Version named by the caller's token; empty for a new session.
    version: str = ""

    def response_headers(self, headers: Mapping[str, str]) -> dict[str, str]:
        """Return the session headers to add to a response with ``headers``."""
        served_version = headers.get(HEADER_VERSION)
        if not served_version:
            return {}
        binding = SessionBinding(workspace=self.workspace, version=served_version)
        added = {HEADER_SESSION: self.signer.sign(binding)}
        if self.version and self.version != served_version:
            added[HEADER_SESSION_REPLACED] = self.version
        return added


class CallerSessions:
    """Reads the session token that a caller sent with its request."""

    def __init__(
        self, signer: SessionSigner, configuration: ConfigurationHolder
    ) -> None:
        self._signer = signer
        self._configuration = configuration

    def read_session(self, request: CallerRequest, token: str) -> CallerSession | None:
        """Return the session; None if the caller's workspace is not known.

        Raises SessionError if ``token`` is invalid or of another workspace.
        """
        record = self._configuration.record
        if record is None:
            return None
        workspace = record.configuration.workspaces_by_digest.get(request.key_digest)
        if workspace is None:
            return None
        if not token:
            return CallerSession(self._signer, workspace.name)
        binding = self._signer.verify(token)
        if binding.workspace != workspace.name:
            raise SessionError
        return CallerSession(self._signer, workspace.name, binding.version)
