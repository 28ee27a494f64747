"""Claim idempotency keys through the daemon that batches the claims of a key's shard."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, replace

from railsail.core.kernel import Kernel
from railsail.core.tasks import TaskSet
from railsail.membership.placement import choose
from railsail.peers.hub import PeerHub
from railsail.peers.link import Identity
from railsail.peers.messages import ClaimReply, ClaimRequest
from railsail.store.base import Store
from railsail.store.claims import (
    Claim,
    ClaimAnswer,
    ClaimResult,
    ClaimShard,
    shard_of,
)
from railsail.store.journal import Backoff

RELEASE_TIMEOUT_SECONDS = 600.0
RELEASE_ATTEMPT_SECONDS = 10.0
CHECK_INTERVAL_SECONDS = 0.5
# A batcher that has not replied within this time is replaced by another one, since the store may
# refuse just that node. A slow store answers within this time, and two batchers of one shard only
# cause write conflicts.
BATCHER_TIMEOUT_SECONDS = 3.0


@dataclass
class _PendingClaim:
    """A claim that waits for a reply; it was sent to the batcher ``node`` at ``sent_at``."""

    claim: Claim
    node: str
    answer: asyncio.Future
    sent_at: float


class ClaimService:
    """Makes the claims of this node's requests, and batches those of the shards assigned to it."""

    def __init__(
        self,
        store: Store,
        hub: PeerHub,
        usable: Callable[[], list[str]],
        keep_seconds: float,
        kernel: Kernel,
    ) -> None:
        self._store = store
        self._hub = hub
        self._usable = usable
        self._keep_seconds = keep_seconds
        self._clock = kernel.clock
        self._metrics = kernel.metrics
        self._rng = kernel.rng
        self._shards: dict[int, ClaimShard] = {}
        self._pending: dict[int, _PendingClaim] = {}
        self._next_number = 1
        self._tasks = TaskSet()
        self._stopped = False
        hub.handle(ClaimRequest, self._handle_request)
        hub.handle(ClaimReply, self._handle_reply)
        hub.on_up(self._link_up)
        hub.on_down(self._link_down)

    def new_claim(self, key: bytes, fingerprint: bytes) -> Claim:
        """Return a claim of this node with its own attempt number."""
        self._next_number += 1
        own = self._hub.own
        return Claim(key, fingerprint, own.node, own.start_id, self._next_number)

    async def claim(self, claim: Claim, seconds: float) -> ClaimAnswer:
        """Make ``claim`` within ``seconds``; if that fails, release it in the background."""
        try:
            async with asyncio.timeout(seconds):
                answer = await self._make(claim)
        except (TimeoutError, asyncio.CancelledError) as problem:
            self.release(claim)
            if isinstance(problem, asyncio.CancelledError):
                raise
            answer = ClaimAnswer(ClaimResult.UNAVAILABLE)
        self._metrics.claims.inc({"result": answer.result.name.lower()})
        return answer

    def release(self, claim: Claim) -> None:
        """Release ``claim`` in the background, because its request was not run."""
        if self._stopped:
            return
        self._tasks.start(self._release(replace(claim, release=True)))

    async def settle(self, seconds: float) -> None:
        """Wait at most ``seconds`` for releases in progress."""
        await self._tasks.wait(seconds)

    def stop(self) -> None:
        """Cancel all releases; keys that are released later stay claimed."""
        self._stopped = True
        self._tasks.cancel()

    async def _release(self, claim: Claim) -> None:
        deadline_at = self._clock.monotonic() + RELEASE_TIMEOUT_SECONDS
        backoff = Backoff(self._rng, 0.5, 30.0)
        while self._clock.monotonic() < deadline_at:
            try:
                async with asyncio.timeout(RELEASE_ATTEMPT_SECONDS):
                    await self._make(claim)
                return
            except TimeoutError:
                await asyncio.sleep(backoff.pause())

    async def _make(self, claim: Claim) -> ClaimAnswer:
        node = self._batcher(claim)
        if node == self._hub.own.node:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(BATCHER_TIMEOUT_SECONDS):
                    return await self._shard(claim.key).make(claim)
            node = self._another_batcher(claim, node)
        self._next_number += 1
        number = self._next_number
        answer: asyncio.Future = asyncio.get_running_loop().create_future()
        self._pending[number] = _PendingClaim(claim, node, answer, self._clock.monotonic())
        try:
            self._send(number, claim, node)
            while not (await asyncio.wait([answer], timeout=CHECK_INTERVAL_SECONDS))[0]:
                self._replace_silent_batcher(number)
            return answer.result()
        finally:
            del self._pending[number]

    def _replace_silent_batcher(self, number: int) -> None:
        # A batcher that is alive may still get no answers from the store.
        pending = self._pending[number]
        waited = self._clock.monotonic() - pending.sent_at
        if pending.node not in self._usable() or waited > BATCHER_TIMEOUT_SECONDS:
            self._send_to_another(number, pending.node)

    def batchers(self) -> set[str]:
        """Return the nodes that claims were sent to and that have not replied."""
        return {pending.node for pending in self._pending.values()}

    def _batcher(self, claim: Claim) -> str:
        job = f"claims {shard_of(claim.key)}"
        return choose(job, self._usable()) or self._hub.own.node

    def _send(self, number: int, claim: Claim, node: str) -> None:
        request = ClaimRequest(number, claim.key, claim.fingerprint, claim.attempt, claim.release)
        if not self._hub.send(node, request) and not self._hub.dial(node):
            # The link is down and may not be dialled yet: no link event would send the claim again.
            self._send_to_another(number, node)

    def _shard(self, key: bytes) -> ClaimShard:
        number = shard_of(key)
        if number not in self._shards:
            self._shards[number] = ClaimShard(
                self._store, number, self._keep_seconds, self._clock, self._rng
            )
        return self._shards[number]

    def _link_up(self, peer: Identity) -> None:
        for number, pending in list(self._pending.items()):
            if pending.node == peer.node:
                self._send(number, pending.claim, pending.node)

    def _link_down(self, node: str) -> None:
        for number, pending in list(self._pending.items()):
            if pending.node == node:
                self._send_to_another(number, node)

    def _send_to_another(self, number: int, node: str) -> None:
        pending = self._pending[number]
        pending.node = self._another_batcher(pending.claim, node)
        pending.sent_at = self._clock.monotonic()
        self._send(number, pending.claim, pending.node)

    def _another_batcher(self, claim: Claim, node: str) -> str:
        """Return a node other than ``node`` that makes ``claim``.

        The store keeps a shard consistent, so any node may batch it. Only this node and those with
        an open link are considered.
        """
        linked = [n for n in self._usable() if n != node and self._hub.connected(n)]
        return choose(f"claims {shard_of(claim.key)}", linked) or self._hub.own.node

    def _handle_request(self, node: str, message: ClaimRequest) -> None:
        self._tasks.start(self._serve_request(node, message))

    async def _serve_request(self, node: str, message: ClaimRequest) -> None:
        start_id = self._hub.start_id(node)
        claim = Claim(
            message.key, message.fingerprint, node, start_id, message.attempt, message.release
        )
        answer = await self._shard(message.key).make(claim)
        holder = answer.holder
        if holder is None:
            self._hub.send(node, ClaimReply(message.number, int(answer.result)))
            return
        reply = ClaimReply(
            message.number, int(answer.result), holder.node, holder.start_id, holder.fingerprint
        )
        self._hub.send(node, reply)

    def _handle_reply(self, node: str, message: ClaimReply) -> None:
        pending = self._pending.get(message.number)
        if pending is None or pending.answer.done():
            return
        holder = None
        if message.holder:
            holder = replace(
                pending.claim,
                node=message.holder,
                start_id=message.holder_start,
                fingerprint=message.fingerprint,
            )
        pending.answer.set_result(ClaimAnswer(ClaimResult(message.result), holder))
