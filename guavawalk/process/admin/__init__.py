"""The administration API of a process: its state for operators, and their actions on it."""

from guavawalk.process.admin import access, documents, node, openapi, operations
from guavawalk.process.admin.access import *
from guavawalk.process.admin.documents import *
from guavawalk.process.admin.node import *
from guavawalk.process.admin.openapi import *
from guavawalk.process.admin.operations import *

__all__ = [
    *access.__all__,
    *documents.__all__,
    *node.__all__,
    *openapi.__all__,
    *operations.__all__,
]
