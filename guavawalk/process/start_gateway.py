"""Entry point of the gateway process.

The platform may send SIGHUP, which asks a process to reload its settings, while the modules are
still being imported. The default action of SIGHUP would terminate the process, so the signal is
ignored before anything else is imported.
"""

import signal

__all__ = ["main"]


def main() -> None:
    """Ignore SIGHUP, then run a gateway with the settings file named by the platform."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from guavawalk.process import gateway_daemon

    gateway_daemon.main()


if __name__ == "__main__":
    main()
