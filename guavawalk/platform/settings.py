"""Where the platform puts a process's settings file, and what it asks a process."""

import os
from pathlib import Path

from guavawalk.exception import SettingsError

__all__ = ["READINESS_PATH", "settings_path"]

READINESS_PATH = "/readyz"
VARIABLE = "GUAVAWALK_CONFIG"


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        If the platform names none.
    """
    path = os.environ.get(VARIABLE)
    if not path:
        raise SettingsError(VARIABLE, "$", "the variable is not set")
    return Path(path)
