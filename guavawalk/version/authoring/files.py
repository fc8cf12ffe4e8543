"""Files of operators: configurations written in Python, and rendered documents."""

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
        If the file fails; names the line.
    """
    try:
        names = runpy.run_path(str(path))
    except ConfigurationError as error:
        raise ConfigurationError(_line(path, error), f"{error.path}: {error.problem}") from error
    except SyntaxError as error:
        raise ConfigurationError(f"{path}:{error.lineno}", f"not Python: {error.msg}") from error
    except OSError as error:
        raise ConfigurationError(str(path), error.strerror or "can't be read") from error
    except Exception as error:
        problem = f"{type(error).__name__}: {error}"
        raise ConfigurationError(_line(path, error), problem) from error
    except SystemExit as error:
        raise ConfigurationError(str(path), "the file ended the process") from error
    draft = names.get(DRAFT_VARIABLE)
    if not isinstance(draft, Draft):
        raise ConfigurationError(str(path), f"no variable {DRAFT_VARIABLE!r} that is a Draft")
    return draft


def _line(path: Path, error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    lines = [frame.lineno for frame in frames if frame.filename == str(path)]
    return f"{path}:{lines[-1]}" if lines else str(path)


def load_documents(directory: Path) -> VersionDocuments:
    """Read the documents that `write_documents` wrote.

    Raises
    ------
    ConfigurationError
        If one is missing or can't be read.
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
        If the nodes would refuse it.
    """
    if path.is_dir():
        return build_configuration(load_documents(path))
    return check_draft(load_draft(path))


def write_documents(documents: VersionDocuments, directory: Path) -> int:
    """Write each document to the file that its key names, the root last.

    Returns
    -------
    int
        Shards that were not there before, which the nodes will fetch.

    Raises
    ------
    ConfigurationError
        If a file can't be written.

    Notes
    -----
    Shards of other versions stay, since a node may still fetch them.
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
