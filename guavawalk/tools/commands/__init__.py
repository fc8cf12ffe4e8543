"""The `guavawalk` command line."""

from guavawalk.tools.commands.app import main

__all__ = ["main"]
