"""Estimates the tokens of a prompt and hashes its prefixes."""

from collections.abc import Sequence

import xxhash

from guavawalk.request.call import SharedPart

__all__ = [
    "BLOCK_CHARS",
    "CHARS_PER_TOKEN",
    "estimate_tokens",
    "fingerprint",
    "prefix_hashes",
    "shared_messages",
]

# Average length of a token, in characters.
CHARS_PER_TOKEN = 4
# Length of a prefix block, in characters, and the largest number of blocks that are hashed.
BLOCK_CHARS = 256
MAX_BLOCKS = 64
# Most leading messages of a chat that count as shared.
MAX_SHARED_MESSAGES = 64
_SIGN_BIT = 1 << 63


def estimate_tokens(text: str) -> int:
    """Estimate the number of tokens in a text from its length, rounded up.

    Examples
    --------
    >>> estimate_tokens("lantern glaze")
    4
    """
    return -(-len(text) // CHARS_PER_TOKEN)


def fingerprint(workspace: str, body: bytes) -> int:
    """Return a signed 64-bit hash of a workspace's name and a request body."""
    return _signed(xxhash.xxh3_64_intdigest(workspace.encode() + b"\0" + body))


def prefix_hashes(model: str, text: str) -> tuple[int, ...]:
    """Hash each block-aligned prefix of a prompt together with the model, shortest first.

    Returns
    -------
    tuple of int
        Signed 64-bit hashes, one for each complete block of `BLOCK_CHARS`, at most `MAX_BLOCKS`;
        empty for a text shorter than a block.

    Examples
    --------
    >>> first, second = prefix_hashes("m", "a" * 512 + "b")
    >>> (first,) == prefix_hashes("m", "a" * 300)
    True
    """
    digest = xxhash.xxh3_64(model.encode() + b"\0")
    hashes = []
    for start in range(0, min(len(text), MAX_BLOCKS * BLOCK_CHARS) - BLOCK_CHARS + 1, BLOCK_CHARS):
        digest.update(text[start : start + BLOCK_CHARS].encode("utf-8", "surrogatepass"))
        hashes.append(_signed(digest.intdigest()))
    return tuple(hashes)


def shared_messages(model: str, texts: Sequence[str]) -> tuple[SharedPart, ...]:
    """Hash each message of a chat alone, together with the model, but the last.

    Other chats may hold the same message, behind others than these.
    """
    parts = []
    for text in texts[:-1][:MAX_SHARED_MESSAGES]:
        content = f"{model}\0{text}".encode("utf-8", "surrogatepass")
        key = xxhash.xxh3_64_intdigest(content) >> 1
        parts.append(SharedPart(f"{key:016x}", key))
    return tuple(parts)


def _signed(value: int) -> int:
    return value - (1 << 64) if value & _SIGN_BIT else value
