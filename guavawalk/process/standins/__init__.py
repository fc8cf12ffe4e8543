"""Small stand-ins for the platform and the targets, for tests, the demo and load."""

from guavawalk.process.standins import engine, engine_model, platform, service
from guavawalk.process.standins.engine import *
from guavawalk.process.standins.engine_model import *
from guavawalk.process.standins.platform import *
from guavawalk.process.standins.service import *

__all__ = [*engine.__all__, *engine_model.__all__, *platform.__all__, *service.__all__]
