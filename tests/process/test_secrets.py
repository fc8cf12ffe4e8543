"""Tests that secrets appear in no log line and in no answer."""

import json
from pathlib import Path

import anyio
import httpcore

from guavawalk.connection.tasks.admin import create_admin_app
from guavawalk.process.admin.entry_node import create_entry_node
from guavawalk.process.observe.json_log import create_event_log
from guavawalk.process.observe.log import EventLog
from guavawalk.tools.embedded import run_embedded
from guavawalk.tools.plan import kestrel_lane_plan
from tests.asgi import send_asgi_request
from tests.process.admin.keys import KEYS, OPERATOR, READER

API_KEY = "key-harbour"
WRONG_KEY = "key-that-nobody-has"
BODY_SECRET = "sponsor card 4000-1234"
QUERY_SECRET = "token=q-s3cret"
SECRETS = (API_KEY, WRONG_KEY, BODY_SECRET, QUERY_SECRET, OPERATOR, READER)
READS = ("state", "configuration", "targets", "queues", "refusals", "histograms")

CHAT = {"model": "quill", "messages": [{"role": "user", "content": BODY_SECRET}], "max_tokens": 4}
REQUESTS = (
    ("POST", "/v1/chat/completions", API_KEY, json.dumps(CHAT).encode()),
    ("POST", "/v1/chat/completions", API_KEY, BODY_SECRET.encode()),
    ("POST", "/v1/chat/completions", WRONG_KEY, json.dumps(CHAT).encode()),
    ("POST", f"/booking/jobs?{QUERY_SECRET}", API_KEY, json.dumps({"x": BODY_SECRET}).encode()),
    ("POST", f"/nothing/jobs?{QUERY_SECRET}", API_KEY, BODY_SECRET.encode()),
    ("POST", "/v1/tickets", API_KEY, BODY_SECRET.encode()),
    ("GET", f"/booking/jobs?{QUERY_SECRET}", WRONG_KEY, b""),
)


async def send_all_requests(log: EventLog) -> list[str]:
    answers = []
    async with run_embedded(kestrel_lane_plan(), log) as deployment:
        url = f"http://{deployment.entry_addresses['victoria']}"
        async with httpcore.AsyncConnectionPool() as pool:
            for method, path, key, body in REQUESTS:
                headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": ""}
                answer = await pool.request(method, url + path, headers=headers, content=body)
                answers.append(str(answer.headers) + answer.content.decode())
        app = create_admin_app(create_entry_node(deployment.entries["victoria"]), KEYS)
        for path in READS:
            for key in (READER, WRONG_KEY):
                answers.append(str(await send_asgi_request(app, "GET", f"/v1/{path}", key)))
    return answers


def run_and_read(folder: Path) -> tuple[list[str], str]:
    """Send all requests; return the answers and the log."""
    log = create_event_log("test", "test", "DEBUG")
    answers = anyio.run(send_all_requests, log)
    file = folder / "log"
    with file.open("w") as stream:
        assert not log.flush(stream.fileno()) and not log.dropped
    return answers, file.read_text()


class TestSecretsAreKept:
    def test_no_log_line_and_no_answer_holds_a_secret(self, tmp_path):
        answers, lines = run_and_read(tmp_path)
        assert "request_ended" in lines
        assert "request_invalid" in lines
        for secret in SECRETS:
            assert secret not in lines
            assert not [answer for answer in answers if secret in answer]

    def test_no_log_line_and_no_answer_holds_the_digest_of_a_key(self, tmp_path):
        answers, lines = run_and_read(tmp_path)
        for key in KEYS:
            assert key.key_digest not in lines + "".join(answers)
