"""Exceptions of the project; each carries the step and peer where it occurred."""

from __future__ import annotations


class ChutelinkError(Exception):
    """Base class of all exceptions of the project.

    Parameters
    ----------
    message : str
        Human-readable description of the error.
    step : str
        The step that failed, such as ``"ledger.claim"``.
    peer : str, default=""
        The process, file or row that the step concerned, if any.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        suffix = f" peer={self.peer}" if self.peer else ""
        return f"{self.message} [step={self.step}{suffix}]"


class SettingsError(ChutelinkError):
    """A settings file is invalid; the message contains the line numbers."""


class PlatformUnavailable(ChutelinkError):
    """A call to the platform failed; no conditional write was applied."""


class HistoryLost(ChutelinkError):
    """The requested changes are no longer available."""


class ConfigInvalid(ChutelinkError):
    """A configuration is invalid; the one in force stays in effect."""


class WriteOutcomeUnknown(ChutelinkError):
    """A write was sent but its reply was lost; it may have taken effect."""


class TransactionConflict(ChutelinkError):
    """A condition of a transaction was not met; nothing was changed."""


class LeaseNotHeld(ChutelinkError):
    """The lease is not held, or too close to its expiry to act on it."""


class OrderNotPossible(ChutelinkError):
    """The current ledger row does not allow the operation."""


class InvariantViolated(ChutelinkError):
    """A change would violate an invariant of the program; it is rejected."""


class EndpointUnreachable(ChutelinkError):
    """No byte of the request reached the endpoint.

    Attributes
    ----------
    is_refused : bool
        Whether a connection was refused, rather than not answered.
    """

    is_refused = False


class EndpointIneligible(EndpointUnreachable):
    """The endpoint may not get the request any more; no byte was sent to it."""


class GrantExpired(ChutelinkError):
    """Nothing was sent: connecting took longer than the grant was valid."""


class EndpointRefused(ChutelinkError):
    """The endpoint answered that it did not run the request."""


class EndpointFailed(ChutelinkError):
    """The exchange failed, in most cases after the request may have been sent.

    Attributes
    ----------
    is_sent : bool
        Whether the request may have been sent.
    """

    is_sent = True


class EndpointSilent(EndpointFailed):
    """The endpoint has sent no complete response in time."""


class MemoryAwaited(EndpointFailed):
    """The response was not read in time, as there was no memory for it here."""


class ConnectionBroken(EndpointFailed):
    """The endpoint closed the connection during an exchange.

    Attributes
    ----------
    is_new_connection : bool
        Whether the connection was opened for this exchange.
    """

    is_new_connection = False


class CallerGone(ChutelinkError):
    """The caller has left, or doesn't read its response in time."""


class PeerMessageInvalid(ChutelinkError):
    """A message from a peer could not be decoded."""
