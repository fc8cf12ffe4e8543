"""`guavawalk standin`: runs stand-ins for targets and the platform as separate processes."""

from functools import partial
from pathlib import Path

import anyio
from cyclopts import App

from guavawalk.process.event_loop import run_tasks

__all__ = ["standin_app"]

standin_app = App(name="standin", help="Run a stand-in for a target or the platform.")


@standin_app.command
def platform(values: Path, listen: str = "127.0.0.1:7100") -> int:
    """Run a platform stand-in that publishes the files in a folder, each under its path as key."""
    from guavawalk.process.http_server import serve_asgi
    from guavawalk.tools.standins.platform import PlatformState, create_platform_app

    state = PlatformState()
    files = sorted(path for path in values.rglob("*") if path.is_file())
    state.publish({path.relative_to(values).as_posix(): path.read_bytes() for path in files})
    return run_tasks(partial(_serve, serve_asgi, create_platform_app(state), listen))


@standin_app.command
def engine(
    listen: str = "127.0.0.1:7200",
    model: str = "quill",
    prefill_tokens_per_s: float = 8_000.0,
    decode_tokens_per_s: float = 60.0,
    batch_slots: int = 16,
) -> int:
    """Run a model engine stand-in."""
    from guavawalk.tools.standins.engine import create_engine_app
    from guavawalk.tools.standins.engine_model import EngineSpeed, create_engine_model

    speed = EngineSpeed(prefill_tokens_per_s, decode_tokens_per_s, batch_slots)

    async def serve() -> None:
        from guavawalk.process.http_server import serve_asgi

        async with anyio.create_task_group() as tasks:
            app = create_engine_app(create_engine_model(speed), tasks, (model,))
            await _serve(serve_asgi, app, listen)

    return run_tasks(serve)


@standin_app.command
def paced(
    listen: str = "127.0.0.1:7200",
    first_token_ms: int = 50,
    tokens_per_s: float = 60.0,
    tokens_per_write: int = 1,
) -> int:
    """Run an engine stand-in that sends tokens at a fixed rate."""
    from guavawalk.process.http_server import serve_asgi
    from guavawalk.tools.standins.paced_engine import Pace, create_paced_engine_app

    app = create_paced_engine_app(Pace(first_token_ms / 1000, tokens_per_s, tokens_per_write))
    return run_tasks(partial(_serve, serve_asgi, app, listen))


@standin_app.command
def service(listen: str = "127.0.0.1:7300") -> int:
    """Run a plain service stand-in."""
    from guavawalk.process.http_server import serve_asgi
    from guavawalk.tools.standins.service import ServiceState, create_service_app

    return run_tasks(partial(_serve, serve_asgi, create_service_app(ServiceState()), listen))


async def _serve(serve_asgi, app, listen: str) -> None:
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(serve_asgi, app, listen)
        print(f"listening on {address}", flush=True)
