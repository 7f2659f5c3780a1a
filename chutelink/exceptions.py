"""Typed errors; each carries the step and the peer at which it arose."""

from __future__ import annotations


class ChutelinkError(Exception):
    """Base of all errors of the project.

    Parameters
    ----------
    message : str
        What went wrong, for people.
    step : str
        The step that failed, such as ``"ledger.claim"``.
    peer : str, default=""
        The process, file or row at the other side, if any.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        place = f" peer={self.peer}" if self.peer else ""
        return f"{self.message} [step={self.step}{place}]"


class SettingsError(ChutelinkError):
    """A settings file can't be used; the message has the line."""


class PlatformUnavailable(ChutelinkError):
    """The platform did not take the call; nothing was changed by it."""


class HistoryLost(ChutelinkError):
    """The changes that were asked for are no longer kept."""


class ConfigInvalid(ChutelinkError):
    """A configuration can't be understood; the one in force stays."""


class WriteOutcomeUnknown(ChutelinkError):
    """A write was sent but its reply was lost; it may have taken effect."""


class TransactionConflict(ChutelinkError):
    """A condition of a transaction did not hold; nothing was changed."""


class LeaseNotHeld(ChutelinkError):
    """The lease is not held, or is too near its end to act on."""


class OrderNotPossible(ChutelinkError):
    """The ledger row as it is now does not allow the step."""


class InvariantViolated(ChutelinkError):
    """An invariant of the program does not hold; the change is refused."""


class EndpointUnreachable(ChutelinkError):
    """No byte of the request reached the endpoint."""


class EndpointRefused(ChutelinkError):
    """The endpoint answered that it did not run the request."""


class EndpointFailed(ChutelinkError):
    """The exchange broke off after the request may have been sent."""


class ConnectionBroken(EndpointFailed):
    """The endpoint's side of a connection ended within an exchange.

    Attributes
    ----------
    is_new_connection : bool
        Whether the connection was opened for this exchange.
    """

    is_new_connection = False


class PeerMessageInvalid(ChutelinkError):
    """A message from a peer could not be understood."""
