"""Settings from which the limits on callers are derived."""

import resource

import attrs

from .budget import BudgetLimits
from .const import (
    ADMIN_BYTES,
    ADMIN_CONNECTIONS,
    ADMIN_FREE_BYTES,
    ADMIN_IDLE_S,
    ANSWER_SHARE,
    BODY_SHARE,
    DEFAULT_MEMORY_MB,
    HELD_SHARE,
    RESERVED_DESCRIPTORS,
    UNFINISHED_SHARE,
)

_BYTES_PER_MB = 1_000_000


@attrs.frozen(kw_only=True)
class ProcessSettings:
    """Table ``process``: what the process may take of its VM."""

    # Memory of the VM in megabytes, six tenths of which may be held for callers and
    # for responses.
    memory_mb: int = attrs.field(
        default=DEFAULT_MEMORY_MB, validator=attrs.validators.ge(64)
    )
    # Files that the process may have open; 0: as the system limits it.
    max_open_files: int = attrs.field(
        default=0,
        validator=attrs.validators.or_(
            attrs.validators.in_((0,)), attrs.validators.ge(2 * RESERVED_DESCRIPTORS)
        ),
    )

    @property
    def unfinished_bytes(self) -> int:
        """Return the limit of what is held of unfinished responses."""
        return int(self.memory_mb * _BYTES_PER_MB * UNFINISHED_SHARE)

    @property
    def caller_limits(self) -> BudgetLimits:
        """Return the limits of the address for callers."""
        open_files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if self.max_open_files:
            open_files = min(open_files, self.max_open_files)
        memory_bytes = self.memory_mb * _BYTES_PER_MB
        return BudgetLimits(
            body_bytes=int(memory_bytes * BODY_SHARE),
            answer_bytes=int(memory_bytes * ANSWER_SHARE),
            held_bytes=int(memory_bytes * HELD_SHARE),
            slots=max(RESERVED_DESCRIPTORS, open_files - RESERVED_DESCRIPTORS),
        )


def admin_limits() -> BudgetLimits:
    """Return the limits of an address for probes and operators."""
    return BudgetLimits(
        body_bytes=0,
        held_bytes=ADMIN_BYTES,
        slots=ADMIN_CONNECTIONS,
        free_bytes=ADMIN_FREE_BYTES,
        admits_bodies=False,
        idle_s=ADMIN_IDLE_S,
    )
