"""Handshake of a link: both ends identify themselves and prove that they know the secret."""

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

# Longest duration of a handshake, in seconds; a longer one fails with `LinkBroken`.
HANDSHAKE_TIMEOUT_S = 3.0
NONCE_BYTES = 16


class Identity(NamedTuple):
    """Identity that this process presents on its links.

    Attributes
    ----------
    role : str
        `entry` or `sidecar`.
    instance : str
        Name of the instance.
    incarnation : int
        Random number drawn at the start of the process; differs from that of earlier processes of
        the instance.
    secret : bytes
        Secret shared by the processes of a fleet; empty if the fleet has none.
    stamp : callable
        Returns version and digest of the configuration in force.
    peer_address : callable
        Returns the `IP:port` at which this process accepts links from peers; empty if it accepts
        none.
    """

    role: str
    instance: str
    incarnation: int
    secret: bytes
    stamp: Callable[[], VersionStamp]
    peer_address: Callable[[], str] = str


async def perform_handshake(link: Link, identity: Identity) -> Hello:
    """Exchange hellos and proofs with the other end, which does the same.

    Sets `link.peer`, and `link.session_id` from the nonces of both ends.

    Returns
    -------
    Hello
        Identity of the other end.

    Raises
    ------
    LinkBroken
        If the link breaks, carries an unexpected message, or the handshake takes more than
        `HANDSHAKE_TIMEOUT_S`.
    RequestError
        `PROTOCOL_MISMATCH` for another protocol version, `UNAUTHENTICATED` for a wrong proof, or
        the code of a `Failure` that the other end sends.
    """
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            return await _perform_handshake(link, identity)
    except TimeoutError as error:
        raise LinkBroken("no handshake in time") from error


async def _perform_handshake(link: Link, identity: Identity) -> Hello:
    own = _create_hello(identity)
    await link.send(own)
    peer = await _receive_expected(link, Hello)
    if peer.protocol_version != PROTOCOL_VERSION:
        detail = f"found protocol {peer.protocol_version}, spoken here is {PROTOCOL_VERSION}"
        await link.send(Failure(ResultCode.PROTOCOL_MISMATCH, detail))
        raise RequestError(ResultCode.PROTOCOL_MISMATCH, detail)
    await link.send(Proof(_compute_proof(identity.secret, own, peer)))
    proof = await _receive_expected(link, Proof)
    if not hmac.compare_digest(proof.proof, _compute_proof(identity.secret, peer, own)):
        await link.send(Failure(ResultCode.UNAUTHENTICATED, "wrong proof"))
        raise RequestError(ResultCode.UNAUTHENTICATED, "wrong proof")
    link.peer = peer
    link.session_id = b"".join(sorted((own.nonce, peer.nonce)))
    return peer


def _create_hello(identity: Identity) -> Hello:
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


def _compute_proof(secret: bytes, prover: Hello, verifier: Hello) -> bytes:
    # Covers both nonces, so that a proof recorded on one link is not valid on another.
    fields = (prover.role, prover.instance, str(prover.incarnation))
    text = "\0".join(fields).encode() + b"\0" + prover.nonce + verifier.nonce
    return hmac.new(secret, text, hashlib.sha256).digest()


async def _receive_expected(link: Link, kind: type):
    message = await link.receive()
    if isinstance(message, Failure):
        raise RequestError(read_code(message.code), message.detail)
    if not isinstance(message, kind):
        raise LinkBroken(f"found {type(message).__name__}, expected {kind.__name__}")
    return message
