"""Start of the gateway process.

The platform may tell a process to read its settings again while it still loads its modules; the
default effect of that signal would end it. So it is ignored before anything else is loaded.
"""

import signal

__all__ = ["main"]


def main() -> None:
    """Run a gateway with the settings file that the platform names."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from guavawalk.process import gateway_daemon

    gateway_daemon.main()


if __name__ == "__main__":
    main()
