"""Reads and writes results files of load runs: one JSON document per line, each with its kind."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Literal, TypedDict

import msgspec

from guavawalk.exception import ResultsError

__all__ = [
    "FaultLine",
    "PromiseLine",
    "RequestLine",
    "ResultLine",
    "RunLine",
    "WasteLine",
    "format_line",
    "read_results",
]


class RunLine(TypedDict):
    """The start of a run; the lines after it name it by `run`."""

    kind: Literal["run"]
    run: str
    plan: str
    policy: str
    deployment: str
    seed: int
    duration_s: float


class RequestLine(TypedDict):
    """One request and how it ended.

    `at_s` is its arrival from the start of the run; `in_time` says whether it completed within
    its deadline. `code` is -1 if its entry was killed or none was ready. `first_token_ms` is 0 if
    no token came. `between_tokens_ms` is the mean time between output tokens; without a first
    token it counts from the arrival. `whole_ms` is the time from the arrival to the end.
    """

    kind: Literal["request"]
    run: str
    at_s: float
    workspace: str
    tier: str
    code: int
    in_time: bool
    attempts: int
    first_token_ms: float
    between_tokens_ms: float
    whole_ms: float
    prompt_tokens: int
    output_tokens: int
    target: str


class WasteLine(TypedDict):
    """Prompt tokens wasted for one cause, `repeated` or `discarded`."""

    kind: Literal["waste"]
    run: str
    cause: str
    prompt_tokens: int


class FaultLine(TypedDict):
    """A fault that the plan injected; `node` is its `where`, empty for the whole deployment."""

    kind: Literal["fault"]
    run: str
    at_s: float
    fault: str
    node: str


class PromiseLine(TypedDict):
    """A guarantee that was checked, and the number of its violations."""

    kind: Literal["promise"]
    run: str
    promise: str
    broken: int
    detail: str


ResultLine = RunLine | RequestLine | WasteLine | FaultLine | PromiseLine

KINDS: dict[str, type] = {
    "run": RunLine,
    "request": RequestLine,
    "waste": WasteLine,
    "fault": FaultLine,
    "promise": PromiseLine,
}


def format_line(line: ResultLine) -> str:
    """Return a line of a results file, with its line feed."""
    return json.dumps(line, separators=(",", ":")) + "\n"


def read_results(files: Iterable[Path]) -> Iterator[ResultLine]:
    """Read results files, one after the other.

    Raises
    ------
    ResultsError
        If a file can't be read or a line is invalid; the message names the file and the line.
    """
    for file in files:
        try:
            with file.open("rb") as lines:
                for number, content in enumerate(lines, start=1):
                    if content.strip():
                        yield _read_line(f"{file}:{number}", content)
        except OSError as error:
            raise ResultsError(str(file), error.strerror or "can't be read") from error


def _read_line(location: str, content: bytes) -> Any:
    try:
        document = msgspec.json.decode(content, type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ResultsError(location, f"found no JSON object: {error}") from error
    kind = document.get("kind")
    if not isinstance(kind, str) or kind not in KINDS:
        allowed = ", ".join(KINDS)
        raise ResultsError(location, f"kind: found {kind!r:.40}, allowed is one of {allowed}")
    try:
        return msgspec.convert(document, KINDS[kind])
    except msgspec.ValidationError as error:
        raise ResultsError(location, str(error)) from error
