"""Reads operators' files, which are configurations in Python, and reads and writes documents."""

import runpy
import traceback
from pathlib import Path

from guavawalk.exception import ConfigurationError
from guavawalk.version.authoring.draft import Draft
from guavawalk.version.authoring.render import check_draft
from guavawalk.version.build import build_configuration, stamp_of_root
from guavawalk.version.documents import (
    ROOT_KEY,
    VersionDocuments,
    digest_bytes,
    read_root,
    shard_key,
)
from guavawalk.version.publish import published_values
from guavawalk.version.types import Configuration

__all__ = ["load_configuration", "load_documents", "load_draft", "write_documents"]

DRAFT_VARIABLE = "draft"


def load_draft(path: Path) -> Draft:
    """Run an operator's Python file and return its variable `draft`.

    Raises
    ------
    ConfigurationError
        If the file can't be read, raises an error or does not set `draft` to a Draft. The error
        names the file and, where known, the line.

    Notes
    -----
    The file runs in this process, so it has to come from a trusted operator.
    """
    try:
        names = runpy.run_path(str(path))
    except ConfigurationError as error:
        raise ConfigurationError(
            _line_of_error(path, error), f"{error.path}: {error.problem}"
        ) from error
    except SyntaxError as error:
        raise ConfigurationError(
            f"{path}:{error.lineno}", f"not valid Python: {error.msg}"
        ) from error
    except OSError as error:
        raise ConfigurationError(str(path), error.strerror or "can't be read") from error
    except Exception as error:
        problem = f"{type(error).__name__}: {error}"
        raise ConfigurationError(_line_of_error(path, error), problem) from error
    except SystemExit as error:
        raise ConfigurationError(str(path), "the file raised SystemExit") from error
    draft = names.get(DRAFT_VARIABLE)
    if not isinstance(draft, Draft):
        raise ConfigurationError(
            str(path), f"the file sets no variable {DRAFT_VARIABLE!r} to a Draft"
        )
    return draft


def _line_of_error(path: Path, error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    lines = [frame.lineno for frame in frames if frame.filename == str(path)]
    return f"{path}:{lines[-1]}" if lines else str(path)


def load_documents(directory: Path) -> VersionDocuments:
    """Read the documents that `write_documents` wrote to a directory.

    Raises
    ------
    ConfigurationError
        If the root is no root document, or a document is missing or can't be read.
    """
    root = _read(directory / ROOT_KEY)
    references = read_root(root)["shards"]
    shards = tuple(_read(directory / shard_key(reference["digest"])) for reference in references)
    return VersionDocuments(stamp_of_root(root), root, shards)


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise ConfigurationError(str(path), error.strerror or "can't be read") from error


def load_configuration(path: Path) -> Configuration:
    """Build the configuration of an operator's file, or of a directory of documents.

    Raises
    ------
    ConfigurationError
        If it can't be read, or if the nodes would refuse it.
    """
    if path.is_dir():
        return build_configuration(load_documents(path))
    return check_draft(load_draft(path))


def write_documents(documents: VersionDocuments, directory: Path) -> int:
    """Write each document to the file named by its key, with the root last.

    Returns
    -------
    int
        Number of shards written, which nodes will fetch; unchanged ones are not written again.

    Raises
    ------
    ConfigurationError
        If a file can't be written.

    Notes
    -----
    Shards of other versions are kept, since nodes may still fetch them.
    """
    new_shards = 0
    for key, value in published_values(documents).items():
        path = directory / key
        if key != ROOT_KEY and path.exists() and digest_bytes(path.read_bytes()) == path.name:
            continue
        new_shards += key != ROOT_KEY
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_bytes(value)
        except OSError as error:
            raise ConfigurationError(str(path), error.strerror or "can't be written") from error
    return new_shards
