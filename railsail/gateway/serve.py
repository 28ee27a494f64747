"""Serve one request: admit it, evaluate its policy, claim its key and call a replica."""

from collections.abc import Callable

import msgspec

from railsail.core.events import Kind
from railsail.core.fingerprints import fingerprint_name, request_fingerprint
from railsail.core.kernel import Kernel
from railsail.core.outcomes import Completed, NotRun, Outcome, Reason
from railsail.gateway.admission import Admission
from railsail.gateway.answers import AnswerCache, KeptAnswer
from railsail.gateway.callers import missing_pool
from railsail.gateway.claims import ClaimService
from railsail.gateway.requests import CallerRequest
from railsail.gateway.sink import CallerSink
from railsail.gateway.tries import ServedRequest, Tries
from railsail.gateway.verdicts import PolicyEvaluator, to_policy_input
from railsail.objects.catalog import Catalog
from railsail.objects.kinds import Pool
from railsail.store.claims import Claim, ClaimResult, claim_key, fingerprint

DEFAULT_DEADLINE_SECONDS = 3600.0
# Maximum time for a claim, also if the caller gave no deadline.
CLAIM_TIMEOUT_SECONDS = 15.0


class Replay(msgspec.Struct, frozen=True):
    """The answer that was given to an earlier attempt with the same key."""

    answer: KeptAnswer


class Conflict(msgspec.Struct, frozen=True):
    """The key was claimed by an earlier attempt; ``detail`` says why there is no answer."""

    detail: str


Result = Outcome | Replay | Conflict


class Server:
    """Server of callers' requests; ``region`` is the region of this node."""

    def __init__(
        self,
        catalog: Callable[[], Catalog],
        evaluator: PolicyEvaluator,
        attempts: Tries,
        claims: ClaimService,
        answers: AnswerCache,
        admission: Admission,
        kernel: Kernel,
        region: str = "",
    ) -> None:
        self._catalog = catalog
        self._region = region
        self._evaluator = evaluator
        self._attempts = attempts
        self._claims = claims
        self._answers = answers
        self._admission = admission
        self._clock = kernel.clock
        self._events = kernel.events

    async def serve(
        self, request_id: str, workspace: str, request: CallerRequest, sink: CallerSink
    ) -> Result:
        """Serve ``request`` of ``workspace``: write the answer to ``sink``, return the result."""
        catalog = self._catalog()
        pool = catalog.pool(request.pool)
        if pool is None:
            return missing_pool(catalog, request.pool)
        refusal = self._admission.admit(workspace)
        if refusal is not None:
            return refusal
        try:
            served = self._create_served_request(request_id, workspace, request, pool, sink)
            return await self._run(served)
        finally:
            self._admission.release(workspace)

    def _create_served_request(
        self,
        request_id: str,
        workspace: str,
        request: CallerRequest,
        pool: Pool,
        sink: CallerSink,
    ) -> ServedRequest:
        decision = self._evaluator.evaluate(workspace, to_policy_input(request, pool))
        now = self._clock.monotonic()
        deadline_at = now + (request.deadline or DEFAULT_DEADLINE_SECONDS)
        retry_mode = "once" if decision.never_repeat else "repeatable"
        detail = (
            f"{pool.name} rank {decision.rank:g} may wait {decision.may_wait:g} s, {retry_mode}"
        )
        shared_fingerprint = request_fingerprint(
            (workspace, request.method, request.path), request.body
        )
        self._events.emit(
            Kind.RECEIVED,
            detail,
            request_id,
            workspace,
            fingerprint=fingerprint_name(shared_fingerprint),
        )
        return ServedRequest(
            request_id,
            workspace,
            request,
            pool,
            decision,
            sink,
            deadline_at,
            fingerprint=shared_fingerprint,
        )

    async def _run(self, served: ServedRequest) -> Result:
        if not (served.decision.never_repeat and served.request.key):
            return await self._attempts.run(served)
        return await self._run_claimed(served)

    async def _run_claimed(self, served: ServedRequest) -> Result:
        """Run the request if this node can claim its key, else treat it as a retry."""
        request = served.request
        key = claim_key(served.workspace, request.key)
        claim = self._claims.new_claim(key, fingerprint(request.method, request.path, request.body))
        # A retry at another node may request the answer before the reply to the claim arrives here.
        attempt = self._answers.start_attempt(key)
        kept: KeptAnswer | None = None
        try:
            remaining = served.deadline_at - self._clock.monotonic()
            answer = await self._claims.claim(claim, min(remaining, CLAIM_TIMEOUT_SECONDS))
            if answer.result is ClaimResult.CLAIMED:
                self._events.emit(Kind.CLAIMED, "", served.id, served.workspace)
                outcome = await self._run_with_claim(served, claim)
                kept = self._answer_to_keep(served, outcome)
                return outcome
        finally:
            self._answers.end_attempt(key, attempt, kept)
        if answer.result is ClaimResult.HELD:
            return await self._answer_retry(served, claim, answer.holder)
        return NotRun(Reason.CLAIM_UNAVAILABLE, "the key could not be claimed in time", 2.0)

    async def _run_with_claim(self, served: ServedRequest, claim: Claim) -> Outcome:
        try:
            return await self._attempts.run(served)
        finally:
            if not served.sent:
                # The request did not run, or its caller disconnected before it did: the key can be
                # used again.
                self._claims.release(claim)

    async def _answer_retry(self, served: ServedRequest, claim: Claim, holder: Claim) -> Result:
        """Return the answer of the attempt that holds the key, or why there is none."""
        self._events.emit(Kind.CLAIM_HELD, f"by {holder.node}", served.id, served.workspace)
        if holder.fingerprint != claim.fingerprint:
            return Conflict("the key was used for another request")
        remaining = served.deadline_at - self._clock.monotonic()
        answer = await self._answers.find(claim.key, holder.node, holder.start_id, remaining)
        if answer is None:
            return Conflict("an earlier try has the key, and its answer is not to be had")
        return Replay(answer)

    def _answer_to_keep(self, served: ServedRequest, outcome: Outcome) -> KeptAnswer | None:
        if not isinstance(outcome, Completed):
            return None
        regions = self._catalog().regions_of(served.workspace)
        if regions and self._region not in regions:
            # An answer that may be served only in other regions is not stored in this one either.
            return None
        sink = served.sink
        return KeptAnswer(outcome.status, sink.content_type, served.id, sink.copy())
