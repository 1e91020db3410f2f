"""Messages and configuration shared by tests of sidecar admission."""

from cardamomnotch_core.configuration.document import configuration_from_document
from cardamomnotch_core.configuration.models import ConfigurationRecord
from cardamomnotch_core.nodes.identity import SidecarIdentity
from cardamomnotch_protocol.models import AttemptRequest

SIDECAR_IDENTITY = SidecarIdentity(vm_id="engine-0", zone="zone-a", incarnation="here")
DOCUMENT = {
    "models": [
        {"name": "drafter", "versions": [{"name": "v1", "cost_per_1k_tokens": 1.0}]}
    ],
    "plans": [{"name": "member", "models": [{"model": "drafter"}]}],
    "workspaces": [{"name": "crates", "plan": "member", "key_digests": ["digest"]}],
}
CONFIGURATION_RECORD = ConfigurationRecord(
    revision=1,
    change_id="first",
    configuration=configuration_from_document(DOCUMENT),
)


def attempt(attempt_id: str, **changes) -> AttemptRequest:
    """Return an attempt that a sidecar accepts below the concurrency limit.

    ``changes`` replaces fields of the message.
    """
    fields = {
        "attempt_id": attempt_id,
        "request_id": f"request-{attempt_id}",
        "request_key": f"crates:{attempt_id}",
        "workspace": "crates",
        "incarnation": SIDECAR_IDENTITY.incarnation,
        "revision": CONFIGURATION_RECORD.revision,
        "timeout_ms": 60_000,
        "model": "drafter",
        "version": "v1",
        "expected_tokens": 10,
    }
    return AttemptRequest(**{**fields, **changes})
