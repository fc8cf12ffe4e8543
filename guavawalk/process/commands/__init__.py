"""The command line."""

from guavawalk.process.commands.app import main

__all__ = ["main"]
