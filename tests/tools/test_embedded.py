"""The demo, which runs an embedded deployment on loopback sockets."""

import anyio
from rich.console import Console

from guavawalk.tools.demo import run_demo


class TestDemo:
    def test_breaks_no_promise(self):
        assert anyio.run(run_demo, Console(quiet=True)) == 0
