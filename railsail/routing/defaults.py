"""The policy and the priority class of workspaces that are configured without their own."""

from railsail.objects.kinds import Policy, PriorityClass

DEFAULT_CLASS = PriorityClass(name="standard")

# A request waits for a replica for at most a fifth of its objective: if it is refused by then, its
# caller can retry and still be served in time.
DEFAULT_POLICY = Policy(
    name="routed",
    rank="-double(request.priority)",
    may_wait="request.objective > 0.0 ? request.objective / 5.0 : 60.0",
    never_repeat="!request.repeatable",
)
