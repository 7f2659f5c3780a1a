"""Update a daemon's shares of quotas when the set of serving daemons changes."""

from __future__ import annotations

from ..core import Application
from ..ids import CustomerName, DaemonId
from ..tables.members import MemberTable
from .buckets import QuotaBounds
from .holders import QuotaHolders
from .model import Customer
from .quotas import QuotaManager


class QuotaSharing:
    """Owns this daemon's shares, and tracks the daemons that hold the others.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    bounds : QuotaBounds
        The margin by which all daemons together may exceed quotas.
    is_lending : bool
        Whether daemons lend each other parts of their shares.
    """

    def __init__(
        self, core: Application, bounds: QuotaBounds, *, is_lending: bool
    ) -> None:
        self._core = core
        self._holders = QuotaHolders(core.daemon_id, core.clock())
        self._own_began_ago_s: float | None = None
        self.manager = QuotaManager(core, bounds, is_lending=is_lending)

    def update_customers(self, customers: dict[CustomerName, Customer] | None) -> None:
        """Apply the customers of the configuration in force."""
        self.manager.sync(customers or {})

    def set_former_fleet(self, expected: int, own_began_ago_s: float | None) -> None:
        """Set the expected number of serving daemons, and this VM's previous start.

        ``expected`` is the number that would serve if all that ever registered were
        alive; ``own_began_ago_s`` is how long ago this VM's previous process started.
        """
        self._holders.expected = expected
        self._own_began_ago_s = own_began_ago_s
        self._core.events.info(
            "former_fleet", serving=expected, began_ago_s=own_began_ago_s
        )

    def update(self, serving: set[DaemonId], members: MemberTable) -> None:
        """Update which daemons serve; called on changes and periodically."""
        now_s = self._core.clock()
        self._holders.update(serving, members, now_s)
        self.manager.update_holder_view(self._holders.view(now_s))

    def note_registered(self) -> None:
        """Add the start allowance, as the next process of this VM will know of it."""
        self.manager.note_previous_start(self._own_began_ago_s)
