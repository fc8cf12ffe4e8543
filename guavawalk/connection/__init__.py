"""What lives as long as one connection."""

from guavawalk.connection import (
    caller,
    codec,
    handshake,
    http_answer,
    http_request,
    http_target,
    link,
    messages,
    platform,
    target,
    tcp,
)
from guavawalk.connection.caller import *
from guavawalk.connection.codec import *
from guavawalk.connection.handshake import *
from guavawalk.connection.http_answer import *
from guavawalk.connection.http_request import *
from guavawalk.connection.http_target import *
from guavawalk.connection.link import *
from guavawalk.connection.messages import *
from guavawalk.connection.platform import *
from guavawalk.connection.target import *
from guavawalk.connection.tcp import *

__all__ = [
    *caller.__all__,
    *codec.__all__,
    *handshake.__all__,
    *http_answer.__all__,
    *http_request.__all__,
    *http_target.__all__,
    *link.__all__,
    *messages.__all__,
    *platform.__all__,
    *target.__all__,
    *tcp.__all__,
]
