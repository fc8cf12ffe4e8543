"""The catalogues of result codes and log events in docs agree with the code."""

from pathlib import Path

from guavawalk.codes import CODES, ResultCode
from guavawalk.events import EVENTS
from guavawalk.tools.commands.catalogue import codes_table, events_table

DOCS = Path(__file__).parent.parent / "docs"


class TestCodesTable:
    def test_every_code_has_a_row(self):
        assert set(CODES) == {int(code) for code in ResultCode}

    def test_docs_equal_code(self):
        assert (DOCS / "CODES.md").read_text().endswith("\n\n" + codes_table())


class TestEventsCatalogue:
    def test_numbers_are_unique(self):
        numbers = [event.number for event in EVENTS.values()]
        assert len(numbers) == len(set(numbers))

    def test_docs_equal_code(self):
        assert (DOCS / "EVENTS.md").read_text().endswith("\n\n" + events_table())
