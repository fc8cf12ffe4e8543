"""Finds the settings file that the platform provides, and names its readiness path."""

import os
from pathlib import Path

from guavawalk.exception import SettingsError

__all__ = ["READINESS_PATH", "settings_path"]

# The platform's load balancer requests this path to find out whether a process accepts connections.
READINESS_PATH = "/readyz"
SETTINGS_VARIABLE = "GUAVAWALK_CONFIG"


def settings_path() -> Path:
    """Return the path of the settings file, from the environment.

    Raises
    ------
    SettingsError
        If the environment variable is missing or empty.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(SETTINGS_VARIABLE, "$", "environment variable missing or empty")
    return Path(path)
