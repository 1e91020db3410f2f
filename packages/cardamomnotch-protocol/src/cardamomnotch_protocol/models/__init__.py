"""Classes of the messages between the system's processes."""

from .attempts import (
    AnswerChunk,
    AnswerHead,
    AttemptAccepted,
    AttemptFinished,
    AttemptRefused,
    AttemptRequest,
    FenceReply,
    FenceRequest,
    KeepAlive,
)
from .base import (
    MESSAGE_CLASSES,
    EnginePlacement,
    Load,
    Message,
    RatingTotals,
    Usage,
)
from .configuration import (
    ChangedPart,
    ConfigurationChanges,
    ConfigurationMessage,
    ConfigurationReply,
)
from .journal import (
    JournalProposal,
    JournalRecord,
    JournalReply,
    JournalRequest,
    JournalResult,
    Outcomes,
    OutcomesCommitted,
    OutcomesForgotten,
)
from .membership import (
    HeartbeatReply,
    HeartbeatRequest,
    PeerRevision,
)

__all__ = [
    "MESSAGE_CLASSES",
    "AnswerChunk",
    "AnswerHead",
    "AttemptAccepted",
    "AttemptFinished",
    "AttemptRefused",
    "AttemptRequest",
    "ChangedPart",
    "ConfigurationChanges",
    "ConfigurationMessage",
    "ConfigurationReply",
    "EnginePlacement",
    "FenceReply",
    "FenceRequest",
    "HeartbeatReply",
    "HeartbeatRequest",
    "JournalProposal",
    "JournalRecord",
    "JournalReply",
    "JournalRequest",
    "JournalResult",
    "KeepAlive",
    "Load",
    "Message",
    "Outcomes",
    "OutcomesCommitted",
    "OutcomesForgotten",
    "PeerRevision",
    "RatingTotals",
    "Usage",
]
