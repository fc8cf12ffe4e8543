"""Data centres that the operator has asked to send no calls to, at one position of the registry."""

from typing import Annotated, NamedTuple

import msgspec

from guavawalk.bounded import Name
from guavawalk.version.position import NO_POSITION, RegistryPosition

__all__ = ["MAX_EVACUATIONS", "NO_EVACUATIONS", "Evacuations"]

# Most data centres that can be evacuated at once: reports carry them all in one datagram.
MAX_EVACUATIONS = 64


class Evacuations(NamedTuple):
    """All evacuations in force; of two states the one at the later position holds.

    Attributes
    ----------
    position : RegistryPosition
        Where the registry was when the state was read; `NO_POSITION` if it is not known.
    data_centres : tuple of str
        Names of the evacuated data centres, sorted.
    """

    position: RegistryPosition = NO_POSITION
    data_centres: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_EVACUATIONS)] = ()


NO_EVACUATIONS = Evacuations()
