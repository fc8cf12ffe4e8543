"""The catalogues in docs against the code."""

from pathlib import Path

from guavawalk.codes import CODES, ResultCode, code_class
from guavawalk.events import EVENTS

DOCS = Path(__file__).parent.parent / "docs"


def table_rows(name: str) -> list[list[str]]:
    lines = [line for line in (DOCS / name).read_text().splitlines() if line[:1] == "|"]
    rows = [
        [cell.strip() for cell in line.strip("|").split("|")] for line in lines if line[:1] == "|"
    ]
    return rows[2:]


class TestCodesTable:
    def test_every_code_has_a_row(self):
        assert set(CODES) == {int(code) for code in ResultCode}

    def test_docs_equal_code(self):
        expected = [
            [str(n), row.code.name, code_class(n).name, str(row.http_status), row.message]
            for n, row in sorted(CODES.items())
        ]
        assert table_rows("CODES.md") == expected


class TestEventsCatalogue:
    def test_numbers_are_unique(self):
        numbers = [event.number for event in EVENTS.values()]
        assert len(numbers) == len(set(numbers))

    def test_docs_equal_code(self):
        found = {(int(row[0]), row[1], row[3]) for row in table_rows("EVENTS.md")}
        assert found == {(e.number, e.name, e.message) for e in EVENTS.values()}
