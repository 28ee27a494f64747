"""HMAC proofs in which two daemons show each other that they know the peer secret."""

import hashlib
import hmac
import secrets

NONCE_BYTES = 16


def new_nonce() -> bytes:
    """Return a new random nonce."""
    return secrets.token_bytes(NONCE_BYTES)


def handshake_proof(
    secret: str, side: str, challenge: bytes, own_nonce: bytes, node: str, start_id: int
) -> bytes:
    """Return the proof of the process ``start_id`` of ``node``.

    It is bound to the ``side`` of the link that sends it, ``join`` or ``accept``, to the other
    side's nonce ``challenge``, and to ``own_nonce``.
    """
    text = f"{side}|{node}|{start_id}|".encode() + challenge + own_nonce
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()


def equal_proofs(left: bytes, right: bytes) -> bool:
    """Return True if both proofs are equal; the comparison takes constant time."""
    return hmac.compare_digest(left, right)
