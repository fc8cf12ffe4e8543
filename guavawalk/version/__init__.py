"""What lives as long as one version of the configuration."""

from guavawalk.version import build, documents, group, held, publish, shards, types, window
from guavawalk.version.build import *
from guavawalk.version.documents import *
from guavawalk.version.group import *
from guavawalk.version.held import *
from guavawalk.version.publish import *
from guavawalk.version.shards import *
from guavawalk.version.types import *
from guavawalk.version.window import *

__all__ = [
    *build.__all__,
    *documents.__all__,
    *group.__all__,
    *held.__all__,
    *publish.__all__,
    *shards.__all__,
    *types.__all__,
    *window.__all__,
]
