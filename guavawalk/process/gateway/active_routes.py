"""Holds the version of the routes in force at a gateway."""

from guavawalk.version.routes import NO_ROUTES, RouteTable

__all__ = ["ActiveRoutes", "create_active_routes"]


class ActiveRoutes:
    """The newest route table that this process has received; older ones never replace it.

    Attributes
    ----------
    table : RouteTable
        Table in force; of version 0 before any is known.
    activated_s : float
        When the table came into force here, on the process's monotonic clock; 0 before any.
    """

    def __init__(self) -> None:
        self.table: RouteTable = NO_ROUTES
        self.activated_s = 0.0

    def replace(self, table: RouteTable, now_s: float = 0.0) -> bool:
        """Put a table into force if its version is newer; return whether it was put into force."""
        if table.version <= self.table.version:
            return False
        self.table = table
        self.activated_s = now_s
        return True


def create_active_routes() -> ActiveRoutes:
    """Create a holder without routes."""
    return ActiveRoutes()
