"""Stand-ins for the platform and the targets, for tests, the demo, benchmarks and load runs."""

from guavawalk.tools.standins import engine, engine_model, platform, service
from guavawalk.tools.standins.engine import *
from guavawalk.tools.standins.engine_model import *
from guavawalk.tools.standins.platform import *
from guavawalk.tools.standins.service import *

__all__ = [*engine.__all__, *engine_model.__all__, *platform.__all__, *service.__all__]
