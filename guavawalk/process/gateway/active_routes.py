"""The version of the routes in force at a gateway."""

from guavawalk.version.routes import NO_ROUTES, RouteTable

__all__ = ["ActiveRoutes", "create_active_routes"]


class ActiveRoutes:
    """The newest route table that this process has seen; it never goes back to an older one.

    Attributes
    ----------
    table : RouteTable
        In force; of version 0 before any is known.
    activated_s : float
        When it came into force here, on the process's clock.
    """

    def __init__(self) -> None:
        self.table: RouteTable = NO_ROUTES
        self.activated_s = 0.0

    def replace(self, table: RouteTable, now_s: float = 0.0) -> bool:
        """Bring a newer table into force; False for one that isn't newer."""
        if table.version <= self.table.version:
            return False
        self.table = table
        self.activated_s = now_s
        return True


def create_active_routes() -> ActiveRoutes:
    """Create a holder of no routes."""
    return ActiveRoutes()
