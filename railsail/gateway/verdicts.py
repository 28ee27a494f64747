"""Evaluate the policies of workspaces for their requests."""

from collections.abc import Callable

from railsail.core.metrics import Metrics
from railsail.gateway.admission import Admission
from railsail.gateway.requests import CallerRequest
from railsail.objects.catalog import Catalog
from railsail.objects.kinds import Policy, Pool
from railsail.policy.programs import (
    CompiledPolicy,
    Inputs,
    LoadInput,
    RequestInput,
    Verdict,
    WorkspaceInput,
)

# The decision for a workspace without a policy is the safest one: its requests are never retried.
NO_POLICY = Verdict(0.0, 60.0, True, ("policy",))


class PolicyEvaluator:
    """Evaluator of workspaces' policies for their requests.

    Policies are compiled once per version of the configuration.
    """

    def __init__(
        self, catalog: Callable[[], Catalog], admission: Admission, metrics: Metrics
    ) -> None:
        self._catalog = catalog
        self._admission = admission
        self._metrics = metrics
        self._policies: dict[str, CompiledPolicy] = {}

    def configured(self, catalog: Catalog) -> None:
        """Drop the programs compiled for an earlier version of the configuration."""
        self._policies.clear()

    def evaluate(self, workspace: str, request: RequestInput) -> Verdict:
        """Return the decision of the policy of ``workspace`` on ``request``."""
        catalog = self._catalog()
        owner = catalog.workspace(workspace)
        policy = catalog.policy(owner.policy) if owner else None
        if policy is None:
            return NO_POLICY
        return self.evaluate_policy(policy, workspace, request)

    def evaluate_policy(self, policy: Policy, workspace: str, request: RequestInput) -> Verdict:
        """Return the decision of ``policy`` on ``request`` of ``workspace``.

        Count the programs of the policy that failed.
        """
        if policy.name not in self._policies:
            self._policies[policy.name] = CompiledPolicy(policy)
        decision = self._policies[policy.name].judge(self._inputs(workspace, request))
        for field in decision.failed:
            self._metrics.policy_errors.inc({"policy": policy.name, "field": field})
        return decision

    def _inputs(self, workspace: str, request: RequestInput) -> Inputs:
        priority_class = self._catalog().class_of(workspace)
        return Inputs(
            WorkspaceInput(workspace, priority_class.name, priority_class.weight),
            request,
            LoadInput(self._admission.in_flight(workspace), self._admission.total),
        )


def to_policy_input(request: CallerRequest, pool: Pool) -> RequestInput:
    """Return what policies see of a request to ``pool``."""
    return RequestInput(
        pool=pool.name,
        kind=pool.upstream_kind,
        method=request.method,
        path=request.path,
        body_bytes=len(request.body),
        max_tokens=request.max_tokens,
        stream=request.stream,
        has_key=bool(request.key),
        deadline=request.deadline,
    )
