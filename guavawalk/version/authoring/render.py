"""Renders a draft into the documents that are published, and checks it as nodes do."""

from guavawalk.exception import ConfigurationError
from guavawalk.version.authoring.draft import Draft
from guavawalk.version.build import build_configuration
from guavawalk.version.documents import VersionDocuments
from guavawalk.version.publish import render_documents
from guavawalk.version.types import Configuration

__all__ = ["check_draft", "render_draft"]

# Version number of documents that are rendered only to be checked.
CHECK_VERSION = 1


def render_draft(draft: Draft, version: int) -> VersionDocuments:
    """Render a draft into documents; the same items and number give the same bytes.

    Parameters
    ----------
    version : int
        Number of the version, 1 or more; nodes ignore a version whose number is not higher than
        that of the version in force.

    Raises
    ------
    ConfigurationError
        If the number is below 1, or if the nodes would refuse the documents.

    Notes
    -----
    The documents are decoded and built as nodes do, so that nodes accept whatever is rendered.
    """
    if version < 1:
        raise ConfigurationError("version", f"found {version}, allowed is 1 or more")
    documents = render_documents(version, draft.parts())
    build_configuration(documents)
    return documents


def check_draft(draft: Draft) -> Configuration:
    """Return the configuration that nodes would build from a draft.

    Raises
    ------
    ConfigurationError
        If the nodes would refuse it.
    """
    return build_configuration(render_documents(CHECK_VERSION, draft.parts()))
