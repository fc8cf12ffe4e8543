"""Administration keys for tests: two for all workspaces, two for the workspace `harbour`."""

from guavawalk.process.admin_settings import AdminKeySettings
from guavawalk.version.documents import digest_bytes

READER = "reader-key-000"
OPERATOR = "operator-key-000"
TEAM = "team-key-000"
TEAM_OPERATOR = "team-operator-key-000"

KEYS = tuple(
    AdminKeySettings(name, digest_bytes(key.encode()), role, workspaces)
    for name, key, role, workspaces in (
        ("reader", READER, "read", ()),
        ("operator", OPERATOR, "operate", ()),
        ("team", TEAM, "read", ("harbour",)),
        ("team-operator", TEAM_OPERATOR, "operate", ("harbour",)),
    )
)
