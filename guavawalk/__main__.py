"""Runs the command line tool as `python -m guavawalk`."""

from guavawalk.tools.commands import main

__all__: list[str] = []

if __name__ == "__main__":
    main()
