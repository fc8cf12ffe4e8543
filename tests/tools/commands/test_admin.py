"""`guavawalk admin` and `guavawalk top` against the administration API of an embedded entry."""

import json

import anyio
import pytest
from anyio.from_thread import start_blocking_portal

from guavawalk.connection.tasks.admin import create_admin_app
from guavawalk.exception import AdminError
from guavawalk.process.admin.entry_node import create_entry_node
from guavawalk.process.http_server import serve_asgi
from guavawalk.tools.commands.admin import KEY_VARIABLE, read_key
from guavawalk.tools.commands.app import app
from guavawalk.tools.embedded import FREE_ADDRESS, run_embedded
from guavawalk.tools.plan import kestrel_lane_plan
from tests.process.admin.keys import KEYS, OPERATOR, READER


async def serve(*, task_status) -> None:
    async with run_embedded(kestrel_lane_plan()) as deployment, anyio.create_task_group() as tasks:
        node = create_entry_node(deployment.entries["victoria"])
        address = await tasks.start(serve_asgi, create_admin_app(node, KEYS), FREE_ADDRESS)
        task_status.started(address)
        await anyio.sleep_forever()


@pytest.fixture(scope="module")
def address():
    with start_blocking_portal() as portal:
        future, address = portal.start_task(serve)
        yield address
        future.cancel()


@pytest.fixture(autouse=True)
def key(monkeypatch):
    monkeypatch.setenv(KEY_VARIABLE, OPERATOR)


def run(capsys, *words: str) -> str:
    assert app(list(words), exit_on_error=False, result_action="return_value") == 0
    return capsys.readouterr().out


class TestAdminCommand:
    @pytest.mark.parametrize(
        "command",
        ["state", "configuration", "targets", "queues", "refusals", "histograms", "suspects"],
    )
    def test_tables_show_the_scalar_fields_of_the_json(self, command, address, capsys):
        document = json.loads(run(capsys, "admin", command, address, "--json"))
        shown = run(capsys, "admin", command, address)
        assert all(name in shown for name in document if not isinstance(document[name], list))

    def test_openapi_describes_the_paths(self, address, capsys):
        assert "/v1/state" in json.loads(run(capsys, "admin", "openapi", address))["paths"]

    def test_suspect_that_is_not_known_is_not_cleared(self, address, capsys):
        words = ("clear-suspect", address, "request", "0" * 16, "--reason", "new model", "--json")
        assert json.loads(run(capsys, "admin", *words))["changed"] is False

    def test_action_prints_its_name(self, address, capsys):
        words = ("admin", "log-level", address, "WARNING", "--json")
        assert json.loads(run(capsys, *words))["action"] == "log-level"

    def test_refusal_raises_its_code_and_name(self, address, monkeypatch):
        monkeypatch.setenv(KEY_VARIABLE, READER)
        with pytest.raises(AdminError, match="103 NOT_ALLOWED"):
            app(["admin", "stop-admitting", address, "--reason", "x"], exit_on_error=False)

    def test_unreachable_process_raises(self):
        with pytest.raises(AdminError, match="127.0.0.1:1: no connection"):
            app(["admin", "state", "127.0.0.1:1"], exit_on_error=False)


class TestTopCommand:
    def test_shows_reachable_and_unreachable_processes(self, address, capsys):
        shown = run(capsys, "top", address, "127.0.0.1:1", "--once")
        assert "entry-victoria" in shown
        assert "127.0.0.1:1: no connection" in shown


class TestKeyOfOperator:
    def test_file_takes_precedence_over_the_environment(self, tmp_path):
        (tmp_path / "key").write_text("from-file\n")
        assert read_key(tmp_path / "key") == "from-file"
        assert read_key(None) == OPERATOR

    def test_error_does_not_show_an_unusable_key(self, monkeypatch, tmp_path):
        monkeypatch.setenv(KEY_VARIABLE, "bad\nkey")
        with pytest.raises(AdminError) as caught:
            read_key(None)
        assert "bad" not in str(caught.value)
        with pytest.raises(AdminError, match="can't be read"):
            read_key(tmp_path / "none")
