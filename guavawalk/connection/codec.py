"""Encodes link messages in thrift's binary protocol and decodes them.

The thrift library enforces the limits on lists and strings while it decodes, so a short frame can't
make it reserve memory for more than they allow.
"""

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.protocol.TProtocol import TProtocolException
from thrift.transport.TTransport import TTransportException
from thrift.TSerialization import deserialize, serialize

from guavawalk.connection import messages
from guavawalk.connection.generated import wire_ttypes
from guavawalk.connection.messages import LoadReport, Message
from guavawalk.exception import LinkBroken

__all__ = ["MAX_FRAME_BYTES", "MAX_LIST_ITEMS", "decode_message", "encode_message"]

# Longest frame that is sent or accepted, in bytes; also the longest string within it.
MAX_FRAME_BYTES = 16 * 1024 * 1024
# Most items of one list in a frame.
MAX_LIST_ITEMS = 65_536

_PROTOCOL_FACTORY = TBinaryProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=MAX_LIST_ITEMS
)
_DECODE_ERRORS = (
    TProtocolException,
    TTransportException,
    TypeError,
    ValueError,
    OverflowError,
    EOFError,
)


def _envelope_fields() -> dict[type, str]:
    """Return the name of the envelope's field for each message type."""
    # A row is (number, type, name, (class, specification) or None if it is no struct, default).
    fields = {}
    for row in wire_ttypes.Envelope.thrift_spec:
        if row is None or row[3] is None:
            continue
        fields[getattr(messages, row[3][0].__name__)] = row[2]
    return fields


_FIELD_OF_TYPE = _envelope_fields()
_TYPE_OF_FIELD = {field: kind for kind, field in _FIELD_OF_TYPE.items()}
_STRUCT_OF_TYPE = {kind: getattr(wire_ttypes, kind.__name__) for kind in _FIELD_OF_TYPE}


def encode_message(message: Message, version: int = 0) -> bytes:
    """Encode a message as a frame, with the sender's configuration version.

    Parameters
    ----------
    message : Message
        One of the types of `guavawalk.connection.messages`.
    version : int
        Configuration version in force at the sender; 0 for none.

    Examples
    --------
    >>> from guavawalk.connection.messages import Chunk
    >>> decode_message(encode_message(Chunk("a", 3, b"xyz"), 7))
    (Chunk(attempt_id='a', offset=3, data=b'xyz'), 7)
    """
    envelope = wire_ttypes.Envelope(version=version)
    setattr(envelope, _FIELD_OF_TYPE[type(message)], _to_struct(message))
    return serialize(envelope, _PROTOCOL_FACTORY)


def decode_message(frame: bytes) -> tuple[Message, int]:
    """Decode a frame into its message and the sender's configuration version, 0 for none.

    Fields that this release doesn't know are ignored; missing ones get their default.

    Raises
    ------
    LinkBroken
        If the frame is unreadable or holds no message type that this release knows.
    """
    try:
        envelope = deserialize(wire_ttypes.Envelope(), frame, _PROTOCOL_FACTORY)
    except _DECODE_ERRORS as error:
        raise LinkBroken(f"unreadable frame: {type(error).__name__}") from error
    for field, value in vars(envelope).items():
        if value is not None and field in _TYPE_OF_FIELD:
            return _from_struct(_TYPE_OF_FIELD[field], value), envelope.version or 0
    raise LinkBroken("frame without a known message")


def _to_struct(message: Message):
    fields = message._asdict()
    if "load" in fields:
        fields["load"] = _to_struct(fields["load"])
    return _STRUCT_OF_TYPE[type(message)](**fields)


def _from_struct(kind: type, struct) -> Message:
    fields = {}
    for name, value in vars(struct).items():
        if value is None:
            continue
        if name == "load":
            fields[name] = _from_struct(LoadReport, value)
        else:
            fields[name] = tuple(value) if isinstance(value, list) else value
    return kind(**fields)
