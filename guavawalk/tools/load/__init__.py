"""The load tool: runs load plans, and summarizes their results on an HTML page."""

from guavawalk.tools.load import page, results, summary
from guavawalk.tools.load.page import *
from guavawalk.tools.load.results import *
from guavawalk.tools.load.summary import *

__all__ = [*page.__all__, *results.__all__, *summary.__all__]
