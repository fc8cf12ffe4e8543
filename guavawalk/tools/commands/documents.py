"""Formats documents of the administration API as tables."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from rich.table import Table
from rich.text import Text

__all__ = ["document_tables", "printable", "rows_table"]

# Name shown for the histograms that all other workspaces share.
REST_NAME = "(rest)"
# Columns whose values are not wrapped.
UNWRAPPED_COLUMNS = ("instance", "name", "workspace", "measure", "role")


def document_tables(document: Mapping[str, Any]) -> list[Table]:
    """Return one table of the scalar fields, if any, and one for each list of documents."""
    plain = {name: value for name, value in document.items() if not _is_document_list(value)}
    tables = [_fields_table(plain)] if plain else []
    for name, value in document.items():
        if _is_document_list(value):
            tables.append(rows_table(name, value))
    return tables


def _is_document_list(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(row, dict) for row in value)


def _fields_table(fields: Mapping[str, Any]) -> Table:
    table = Table("field", "value")
    for name, value in fields.items():
        table.add_row(name, _cell_text(name, value))
    return table


def rows_table(title: str, rows: Sequence[Mapping[str, Any]], columns: Iterable[str] = ()) -> Table:
    """Return a table of documents; empty `columns` stand for all fields of the first document."""
    names = tuple(columns) or tuple(rows[0] if rows else ())
    table = Table(title=title)
    for name in names:
        table.add_column(name, no_wrap=name in UNWRAPPED_COLUMNS, overflow="fold")
    for row in rows:
        table.add_row(*(_cell_text(name, row[name]) for name in names))
    return table


def _cell_text(name: str, value: Any) -> Text:
    # Values come over the network: they are shown as plain text, without markup or control
    # characters.
    if value is None:
        shown = "-"
    elif isinstance(value, bool):
        shown = "yes" if value else "no"
    elif name == "workspace" and value == "":
        shown = REST_NAME
    elif isinstance(value, list):
        shown = ", ".join(map(str, value))
    else:
        shown = str(value)
    return Text(printable(shown))


def printable(text: str) -> str:
    """Return a text with its unprintable characters replaced by U+FFFD.

    Examples
    --------
    >>> printable("a\\x1b[31mb")
    'a�[31mb'
    """
    return "".join(character if character.isprintable() else "�" for character in text)
