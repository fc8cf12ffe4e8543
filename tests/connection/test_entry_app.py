"""Invalid input on the sockets of an entry and a sidecar, as from a new user or an attacker."""

import json
import struct

import anyio
import pytest

from guavawalk.tools.embedded import run_embedded
from guavawalk.tools.plan import kestrel_lane_plan

AUTH = "Host: x\r\nAuthorization: Bearer key-harbour\r\n"
CHAT = "/v1/chat/completions"
GOOD = {"model": "quill", "messages": [{"role": "user", "content": "hi"}], "max_tokens": 2}
ANSWER_LIMIT_S = 20.0


def request(body=b"", method="POST", path=CHAT, headers=AUTH, length=None):
    body = body if isinstance(body, bytes) else json.dumps(body).encode()
    size = len(body) if length is None else length
    head = (
        f"{method} {path} HTTP/1.1\r\n{headers}Content-Length: {size}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


def chat(**changes):
    return request({**GOOD, **changes})


def with_header(line):
    return request(GOOD, headers=f"{AUTH}{line}\r\n")


SURROGATE = b'{"model":"quill","messages":[{"role":"user","content":"\\ud800%s"}],"max_tokens":1}'
CASES = {
    "broken JSON": (request(b"{"), 400, 101),
    "bytes that are no UTF-8": (request(b"\xff\xfe"), 400, 101),
    "an array": (request([]), 400, 101),
    "deep nesting": (request(b"[" * 100_000), 400, 101),
    "no model": (request({}), 404, 104),
    "a model of another type": (chat(model=3), 404, 104),
    "an unknown model": (chat(model="zz"), 404, 104),
    "messages of another type": (chat(messages="x"), 400, 101),
    "content of another type": (chat(messages=[{"role": "user", "content": 3}]), 400, 101),
    "stream of another type": (chat(stream="yes"), 400, 101),
    "negative max_tokens": (chat(max_tokens=-1), 400, 101),
    "huge max_tokens": (chat(max_tokens=10**12), 400, 101),
    "an unknown adapter": (chat(adapter="zz"), 503, 209),
    "no key": (request(GOOD, headers="Host: x\r\n"), 401, 102),
    "an unknown key": (request(GOOD, headers="Host: x\r\nAuthorization: Bearer no\r\n"), 401, 102),
    "a negative deadline": (with_header("X-Guavawalk-Deadline-Ms: -5"), 400, 109),
    "a deadline of 5,000 digits": (with_header("X-Guavawalk-Deadline-Ms: " + "9" * 5000), 400, 109),
    "a deadline over the limit": (with_header("X-Guavawalk-Deadline-Ms: 99999999999"), 400, 109),
    "an unknown tier": (with_header("X-Guavawalk-Tier: vip"), 400, 106),
    "a long trace id": (with_header("X-Request-Id: " + "a" * 100), 400, 101),
    "an unknown service": (request(GOOD, path="/zzz/x"), 404, 105),
    "an unknown path below /v1": (request(GOOD, path="/v1/zzz"), 404, 115),
    "the wrong method": (request(method="GET"), 400, 101),
    "dot segments": (request(method="GET", path="/booking/../../etc"), 400, 101),
    "encoded dot segments": (request(method="GET", path="/booking/%2e%2e/x"), 400, 101),
    "a key that is no ticket": (
        request({"reference": "x"}, path="/booking/a", headers=AUTH + "Idempotency-Key: 7\r\n"),
        422,
        111,
    ),
    "a ticket body of other fields": (request({"x": 1}, path="/v1/tickets"), 400, 101),
    "a body over the limit": (request(b"x" * 8_400_000), 413, 107),
    "headers over the limit": (with_header("X-Long: " + "y" * 70_000), 431, 108),
    "a head over the listener's limit": (
        b"GET / HTTP/1.1\r\nX-Long: " + b"y" * 200_000,
        431,
        108,
    ),
    "garbage": (b"\x00\xff\x13garbage\r\n\r\n", 400, 101),
    "half a head": (b"POST /v1/chat HTTP/1.1\r\nHos", 408, 114),
    "silence": (b"", 408, 114),
    "half a body": (request(b"{", length=100), 408, 114),
    "a lone surrogate": (request(SURROGATE % (b"z" * 600)), 200, 0),
    "a good request": (request(GOOD), 200, 0),
}


async def exchange(address: str, raw: bytes) -> bytes:
    host, port = address.split(":")
    answer = bytearray()
    with anyio.move_on_after(ANSWER_LIMIT_S):
        async with await anyio.connect_tcp(host, int(port)) as stream:
            try:
                await stream.send(raw)
                while True:
                    answer += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass
    return bytes(answer)


async def exchange_all() -> dict[str, bytes]:
    plan = kestrel_lane_plan()
    answers = {}
    async with run_embedded(plan, request_timeout_ms=500) as deployment:
        address = deployment.entry_addresses["victoria"]

        async def run_case(name: str) -> None:
            answers[name] = await exchange(address, CASES[name][0])

        async with anyio.create_task_group() as tasks:
            for name in CASES:
                tasks.start_soon(run_case, name)
    return answers


@pytest.fixture(scope="module")
def answers():
    return anyio.run(exchange_all)


class TestBadInput:
    @pytest.mark.parametrize("name", CASES)
    def test_gets_its_numbered_answer(self, answers, name):
        status, code = CASES[name][1:]
        head, _, body = answers[name].partition(b"\r\n\r\n")
        assert head.split()[1] == str(status).encode(), answers[name][:300]
        if code:
            error = json.loads(body)["error"]
            assert error["number"] == code
            assert error["class"] in ("INVALID", "NOT_RUN")
            assert f"x-guavawalk-code: {code}".encode() in head


class TestVanishedCaller:
    def test_its_generation_is_stopped(self):
        async def scenario():
            async with run_embedded(kestrel_lane_plan()) as deployment:
                host, port = deployment.entry_addresses["victoria"].split(":")
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(chat(stream=True, max_tokens=50_000))
                    while b'"delta"' not in await stream.receive():
                        pass
                with anyio.fail_after(ANSWER_LIMIT_S):
                    while any(engine.running for engine in deployment.engines.values()):
                        await anyio.sleep(0.05)
                sidecars = deployment.sidecars.values()
                return sum(len(sidecar.attempts.live) for sidecar in sidecars)

        assert anyio.run(scenario) == 0


class TestAnswerHeaders:
    def test_name_the_target_of_a_call(self):
        async def scenario():
            async with run_embedded(kestrel_lane_plan()) as deployment:
                address = deployment.entry_addresses["victoria"]
                return await exchange(address, request(method="GET", path="/booking/jobs/1"))

        head = anyio.run(scenario).partition(b"\r\n\r\n")[0]
        assert head.startswith(b"HTTP/1.1 200")
        assert b"x-guavawalk-target: booking-" in head


class TestSidecarPort:
    @pytest.mark.parametrize(
        "raw",
        [b"garbage", b"\x7f\xff\xff\xff" + b"x" * 100, struct.pack(">I", 3) + b"\xff" * 3, b""],
        ids=["garbage", "a frame of 2 GB", "an unreadable frame", "silence"],
    )
    def test_closes_and_serves_others(self, raw):
        async def scenario():
            async with run_embedded(kestrel_lane_plan()) as deployment:
                target = next(iter(deployment.plan.targets))
                address = deployment.sidecar_addresses[target.name]
                left_over = await exchange(address, raw)
                entry = deployment.entry_addresses["victoria"]
                return left_over, await exchange(entry, request(GOOD))

        left_over, answer = anyio.run(scenario)
        assert len(left_over) < 1_000
        assert answer.startswith(b"HTTP/1.1 200")
