"""Rendering a draft into the documents that are published."""

from guavawalk.exception import ConfigurationError
from guavawalk.version.authoring.draft import Draft
from guavawalk.version.build import build_configuration
from guavawalk.version.documents import VersionDocuments
from guavawalk.version.publish import render_documents
from guavawalk.version.types import Configuration

__all__ = ["check_draft", "render_draft"]

UNNUMBERED = 1


def render_draft(draft: Draft, version: int) -> VersionDocuments:
    """Render a draft; the same parts and number give the same bytes.

    Parameters
    ----------
    version : int
        Number of the version, above that of the version in force.

    Raises
    ------
    ConfigurationError
        If the nodes would refuse the documents.

    Notes
    -----
    The documents are read back and built as a node does, so what is rendered can be taken.
    """
    if version < 1:
        raise ConfigurationError("version", f"found {version}, allowed is 1 or more")
    documents = render_documents(version, draft.parts())
    build_configuration(documents)
    return documents


def check_draft(draft: Draft) -> Configuration:
    """Return the configuration that the nodes would build of a draft.

    Raises
    ------
    ConfigurationError
        If they would refuse it.
    """
    return build_configuration(render_documents(UNNUMBERED, draft.parts()))
