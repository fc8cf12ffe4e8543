"""Types of fields that come from other processes, with the bounds that decoding checks."""

from typing import Annotated

import msgspec

__all__ = ["Address", "Amount", "Count", "Name", "Number", "TargetId"]

_IP = r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9A-Fa-f:.]+\])"
_PORT = r"(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|[1-9]\d{0,3})"
# `IP:port`: to connect or send to it needs no name lookup.
Address = Annotated[str, msgspec.Meta(max_length=64, pattern=f"^{_IP}:{_PORT}$")]
# A count of calls, tokens or attempts.
Count = Annotated[int, msgspec.Meta(ge=-(10**12), le=10**12)]
# A version, revision, sequence or incarnation.
Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# A finite amount or time; neither infinite nor no number.
Amount = Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]
# The id of a target, which is sent in a header.
TargetId = Annotated[str, msgspec.Meta(min_length=1, max_length=200, pattern=r"^[\x21-\x7e]*$")]
# The name of a service or data centre.
Name = Annotated[str, msgspec.Meta(max_length=200, pattern=r"^[^\x00-\x1f\x7f]*$")]
