"""The version of the routes in force at a gateway."""

from guavawalk.version.routes import NO_ROUTES, RouteTable

__all__ = ["HeldRoutes", "create_held_routes"]


class HeldRoutes:
    """The newest route table that this process has seen; it never goes back to an older one.

    Attributes
    ----------
    table : RouteTable
        In force; of version 0 before any is known.
    taken_s : float
        When it came into force here, on the process's clock.
    """

    def __init__(self) -> None:
        self.table: RouteTable = NO_ROUTES
        self.taken_s = 0.0

    def take(self, table: RouteTable, now_s: float = 0.0) -> bool:
        """Bring a newer table into force; False for one that isn't newer."""
        if table.version <= self.table.version:
            return False
        self.table = table
        self.taken_s = now_s
        return True


def create_held_routes() -> HeldRoutes:
    """Create a holder of no routes."""
    return HeldRoutes()
