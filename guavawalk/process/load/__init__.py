"""The load tool: what its runs write, and the page made of it."""

from guavawalk.process.load import page, results, summary
from guavawalk.process.load.page import *
from guavawalk.process.load.results import *
from guavawalk.process.load.summary import *

__all__ = [*page.__all__, *results.__all__, *summary.__all__]
