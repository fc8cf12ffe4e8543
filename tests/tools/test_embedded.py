"""The whole path on loopback sockets."""

import anyio
from rich.console import Console

from guavawalk.tools.demo import run_demo


class TestDemo:
    def test_keeps_its_promises(self):
        assert anyio.run(run_demo, Console(quiet=True)) == 0
