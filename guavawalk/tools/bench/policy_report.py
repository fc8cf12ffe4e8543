"""Writes results of the policy benchmark as JSON lines and prints them as a table."""

import json
from collections.abc import Sequence
from pathlib import Path

from rich.console import Console
from rich.table import Table

from guavawalk.tools.bench.policy import PolicyResult

__all__ = ["print_results", "write_line"]

# Width of the printed table, in characters.
TABLE_WIDTH = 160


def write_line(path: Path, result: PolicyResult) -> None:
    """Append one result to a file of JSON lines."""
    document = {**result._asdict(), "tiers": [tier._asdict() for tier in result.tiers]}
    with path.open("a", encoding="utf-8") as file:
        file.write(json.dumps(document) + "\n")


def print_results(results: Sequence[PolicyResult]) -> None:
    """Print one row per run: share of each tier's requests completed in time, tokens, and waste."""
    tiers = [tier.tier for tier in results[0].tiers] if results else []
    table = Table("load", "policy", *(f"{name} %" for name in tiers), "all", "tokens")
    for name in ("p95 ms", "late", "wasted", "prefilled", "attempts", "broken"):
        table.add_column(name)
    for result in results:
        table.add_row(*_cells(result))
    Console(width=TABLE_WIDTH).print(table)


def _cells(result: PolicyResult) -> list[str]:
    tiers = result.tiers
    wasted = result.repeated_tokens + result.discarded_tokens
    return [
        f"{result.load:g}",
        result.policy,
        *(f"{100 * t.in_time / max(t.offered, 1):.1f} of {t.offered}" for t in tiers),
        str(sum(tier.in_time for tier in tiers)),
        str(sum(tier.good_tokens for tier in tiers)),
        f"{tiers[0].first_token_p95_ms:.0f}",
        str(sum(tier.late for tier in tiers)),
        f"{wasted} ({result.repeated_tokens}+{result.discarded_tokens})",
        str(result.prefilled_tokens),
        str(result.attempts),
        str(result.not_run_but_ran + result.ran_twice),
    ]
