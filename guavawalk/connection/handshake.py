"""The first exchange on a link: who is there, and whether both hold the shared secret."""

import hashlib
import hmac
import secrets
from collections.abc import Callable
from typing import NamedTuple

import anyio

from guavawalk.codes import ResultCode, read_code
from guavawalk.connection.link import Link
from guavawalk.connection.messages import PROTOCOL_VERSION, Failure, Hello, Proof
from guavawalk.exception import LinkBroken, RequestError
from guavawalk.version.types import VersionStamp

__all__ = ["Identity", "perform_handshake"]

HANDSHAKE_TIMEOUT_S = 3.0
NONCE_BYTES = 16


class Identity(NamedTuple):
    """Who this process is on its links.

    Attributes
    ----------
    role : str
        `entry` or `sidecar`.
    incarnation : int
        Random, made when the process starts.
    secret : bytes
        Shared by the processes of a fleet; empty for none.
    stamp : callable
        Returns the stamp of the version in force.
    peer_address : callable
        Returns where this process takes links from peers.
    """

    role: str
    instance: str
    incarnation: int
    secret: bytes
    stamp: Callable[[], VersionStamp]
    peer_address: Callable[[], str] = str


async def perform_handshake(link: Link, identity: Identity) -> Hello:
    """Exchange hellos and proofs; both ends call it.

    Returns
    -------
    Hello
        What the other end says of itself, also set as `link.peer`; `link.session_id` is set from
        both nonces.

    Raises
    ------
    LinkBroken
        If the link breaks, or nothing comes in time.
    RequestError
        `PROTOCOL_MISMATCH` for another protocol version, `UNAUTHENTICATED` for a wrong proof.
    """
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            return await _perform_handshake(link, identity)
    except TimeoutError as error:
        raise LinkBroken("no handshake in time") from error


async def _perform_handshake(link: Link, identity: Identity) -> Hello:
    mine = _hello(identity)
    await link.send(mine)
    theirs = await _expect(link, Hello)
    if theirs.protocol_version != PROTOCOL_VERSION:
        detail = f"found protocol {theirs.protocol_version}, spoken here is {PROTOCOL_VERSION}"
        await link.send(Failure(ResultCode.PROTOCOL_MISMATCH, detail))
        raise RequestError(ResultCode.PROTOCOL_MISMATCH, detail)
    await link.send(Proof(_proof(identity.secret, mine, theirs)))
    proof = await _expect(link, Proof)
    if not hmac.compare_digest(proof.proof, _proof(identity.secret, theirs, mine)):
        await link.send(Failure(ResultCode.UNAUTHENTICATED, "wrong proof"))
        raise RequestError(ResultCode.UNAUTHENTICATED, "wrong proof")
    link.peer = theirs
    link.session_id = b"".join(sorted((mine.nonce, theirs.nonce)))
    return theirs


def _hello(identity: Identity) -> Hello:
    stamp = identity.stamp()
    return Hello(
        protocol_version=PROTOCOL_VERSION,
        role=identity.role,
        instance=identity.instance,
        incarnation=identity.incarnation,
        version=stamp.version,
        digest=stamp.digest,
        nonce=secrets.token_bytes(NONCE_BYTES),
        peer_address=identity.peer_address(),
    )


def _proof(secret: bytes, prover: Hello, verifier: Hello) -> bytes:
    fields = (prover.role, prover.instance, str(prover.incarnation))
    text = "\0".join(fields).encode() + b"\0" + prover.nonce + verifier.nonce
    return hmac.new(secret, text, hashlib.sha256).digest()


async def _expect(link: Link, kind: type):
    message = await link.receive()
    if isinstance(message, Failure):
        raise RequestError(read_code(message.code), message.detail)
    if not isinstance(message, kind):
        raise LinkBroken(f"found {type(message).__name__}, expected {kind.__name__}")
    return message
